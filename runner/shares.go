package runner

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// shares remembers this VM's part of the connections of each searcher until the view changes, or the next upkeep after a change of the members.
type shares struct {
	mu       sync.Mutex
	of       map[netip.AddrPort]limiter.Share
	outdated bool
}

func (c *shares) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of = nil
	c.outdated = false
}

// outdate has the shares worked out anew by the next upkeep: members often change many at once.
func (c *shares) outdate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outdated = true
}

// isOutdated reports whether the members have changed since the shares were forgotten.
func (c *shares) isOutdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outdated
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
func (v *VM) share(view *planner.View, n int32) limiter.Share {
	s := &view.Searchers[n]
	return v.shares.get(s.Address, func() limiter.Share {
		regions := v.cfg.Routing.Regions
		near, far := v.crowd.Load().split(regions, regions[s.FailureDomain])
		unknown := max(0, v.sharers()-len(near)-len(far))
		connections := view.Services[s.Service].Contract.Connections
		return limiter.ShareOf(connections, len(near), len(far)+unknown, v.contender(view, n, near, far))
	})
}

// contender says where this VM comes among those that may hold connections to a searcher. Of the far searchers of a service each VM chooses one: that is enough to send a hedge to without opening a connection first.
func (v *VM) contender(view *planner.View, n int32, near, far []gossiper.Member) limiter.Contender {
	s := &view.Searchers[n]
	regions := v.cfg.Routing.Regions
	region := regions[v.cfg.FailureDomain]
	key := s.Address.String()
	if region == regions[s.FailureDomain] {
		return limiter.Contender{Near: true, Chose: true, Rank: planner.RankOf(key, v.cfg.Name, names(near))}
	}
	chosenBy := func(vm modeler.VMName, region string) bool {
		return n == view.ChoiceOf(vm, s.Service, func(s *planner.Searcher) bool { return regions[s.FailureDomain] != region })
	}
	if !chosenBy(v.cfg.Name, region) {
		return limiter.Contender{}
	}
	rivals := slices.DeleteFunc(far, func(m gossiper.Member) bool { return !chosenBy(m.Name, regions[m.Domain]) })
	return limiter.Contender{
		Chose: true, Rank: planner.RankOf(key, v.cfg.Name, names(rivals)), Settled: time.Since(v.started) >= SettlePeriod,
	}
}

// split parts the live VMs into those of a region and those of the others.
func (c *crowd) split(regions map[modeler.FailureDomain]string, region string) (near, far []gossiper.Member) {
	for _, m := range c.live {
		if regions[m.Domain] == region {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

func names(members []gossiper.Member) []modeler.VMName {
	out := make([]modeler.VMName, len(members))
	for i, m := range members {
		out[i] = m.Name
	}
	return out
}

// isHolder reports whether this VM may keep connections to a searcher open.
func (v *VM) isHolder(view *planner.View, n int32) bool { return v.share(view, n).Holder }

// phase is how far a VM has come since its start, as far as its shares of connections depend on it.
type phase uint8

const (
	starting phase = iota // the members may not all be known
	unsettled
	settled
)

// renewShares works the shares out anew once the members have changed or the VM has come into a later phase.
func (v *VM) renewShares(p *phase) {
	now := starting
	switch up := time.Since(v.started); {
	case up >= SettlePeriod:
		now = settled
	case up >= LearnPeriod:
		now = unsettled
	}
	if now != *p || v.shares.isOutdated() {
		*p = now
		v.shares.forget()
		v.dialer.Rebudget()
	}
}
