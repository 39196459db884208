package runner

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// shares remembers this VM's part of the connections of each searcher until the members or the view change.
type shares struct {
	mu sync.Mutex
	of map[netip.AddrPort]limiter.Share
}

func (c *shares) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of = nil
}

// get returns the share of a searcher, and works it out if it is not known.
func (c *shares) get(a netip.AddrPort, work func() limiter.Share) limiter.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.of[a]
	if !ok {
		if c.of == nil {
			c.of = map[netip.AddrPort]limiter.Share{}
		}
		s = work()
		c.of[a] = s
	}
	return s
}

// share returns this VM's part of the connections of a searcher.
func (v *VM) share(s *planner.Searcher, connections int) limiter.Share {
	return v.shares.get(s.Address, func() limiter.Share {
		regions := v.cfg.Routing.Regions
		region := regions[s.FailureDomain]
		var far []modeler.VMName
		near := 0
		for _, m := range v.gossip.Members() {
			switch {
			case m.State > gossiper.Suspect:
			case regions[m.Domain] == region:
				near++
			default:
				far = append(far, m.Name)
			}
		}
		unknown := max(0, v.leastFleet()-near-len(far))
		isNear := regions[v.cfg.FailureDomain] == region
		rank := 0
		if !isNear {
			rank = slices.Index(planner.Rank(s.Address.String(), far, len(far)), v.cfg.Name)
		}
		return limiter.ShareOf(connections, near, len(far)+unknown, isNear, rank)
	})
}

// isHolder reports whether this VM may keep connections to a searcher open.
func (v *VM) isHolder(view *planner.View, n int32) bool {
	s := &view.Searchers[n]
	return v.share(s, view.Services[s.Service].Contract.Connections).Holder
}
