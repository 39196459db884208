package runner

import (
	"net/netip"
	"sync"

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
		near, far := v.crowd.Load().split(regions, region)
		unknown := max(0, v.sharers()-len(near)-len(far))
		isNear, kind := regions[v.cfg.FailureDomain] == region, far
		if isNear {
			kind = near
		}
		rank := planner.RankOf(s.Address.String(), v.cfg.Name, kind)
		return limiter.ShareOf(connections, len(near), len(far)+unknown, isNear, rank)
	})
}

// split names the live VMs of a region and those of the others.
func (c *crowd) split(regions map[modeler.FailureDomain]string, region string) (near, far []modeler.VMName) {
	far = make([]modeler.VMName, 0, len(c.live))
	for _, m := range c.live {
		if regions[m.Domain] == region {
			near = append(near, m.Name)
		} else {
			far = append(far, m.Name)
		}
	}
	return near, far
}

// isHolder reports whether this VM may keep connections to a searcher open.
func (v *VM) isHolder(view *planner.View, n int32) bool {
	s := &view.Searchers[n]
	return v.share(s, view.Services[s.Service].Contract.Connections).Holder
}
