package runner

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// shares remembers this VM's part of the connections of each searcher until the view changes, or the next upkeep after a change of the members.
type shares struct {
	mu       sync.Mutex
	of       map[netip.AddrPort]limiter.Share
	fleet    []peer
	outdated bool
}

func (c *shares) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of, c.fleet = nil, nil
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
		if v.shares.fleet == nil {
			v.shares.fleet = v.membership.Load().peers(v.cfg.Routing.Regions)
		}
		near, far, remote, c := v.candidacy(view, n, v.shares.fleet)
		unknown := max(0, v.sharers()-near-far)
		connections := view.Services[s.Service].Contract.Connections
		if share := limiter.ShareOfThin(connections, near, far-remote+unknown, remote, c); share.Limit > 0 {
			return share
		}
		return limiter.ShareOf(connections, near, far+unknown, c)
	})
}

// peer is a live VM as far as shares depend on it.
type peer struct {
	key    planner.Key
	region string
}

// peers returns the live VMs, this one among them.
func (c *membership) peers(regions map[modeler.FailureDomain]string) []peer {
	out := make([]peer, len(c.live))
	for i := range c.live {
		out[i] = peer{planner.KeyOf(string(c.live[i].Name)), regions[c.live[i].Domain]}
	}
	return out
}

// candidacy counts the VMs near a searcher and far from it, those of the far ones that have no searcher of its service in their region, and says where this VM comes among those that may hold connections. Of the far searchers of a service each VM chooses one: that is enough to send a hedge to without opening a connection first.
func (v *VM) candidacy(view *planner.View, n int32, fleet []peer) (near, far, remote int, c limiter.Candidate) {
	self := peer{planner.KeyOf(string(v.cfg.Name)), v.cfg.Routing.Regions[v.cfg.FailureDomain]}
	all := replicasOf(view, view.Searchers[n].Service, v.cfg.Routing.Regions)
	s := &all[slices.IndexFunc(all, func(r replica) bool { return r.searcher == n })]
	c.Near = s.region == self.region
	bare := bareRegions(all, v.cfg.Routing.Regions)
	c.Remote = slices.Contains(bare, self.region)
	c.Chose = c.Near || choice(all, &self) == n
	c.Settled = !v.isUnsettled()
	mine := s.key.Score(self.key)
	for i := range fleet {
		vm := &fleet[i]
		isNear := vm.region == s.region
		if isNear {
			near++
		} else {
			far++
		}
		if len(bare) > 0 && slices.Contains(bare, vm.region) {
			remote++
		}
		if isNear == c.Near && c.Chose && s.key.Score(vm.key) < mine && (isNear || choice(all, vm) == n) {
			c.Rank++
		}
	}
	return near, far, remote, c
}

// isUnsettled reports whether searchers may still count the connections of an earlier incarnation of the fleet.
func (v *VM) isUnsettled() bool { return time.Since(v.started) < SettlePeriod }

// bareRegions returns the regions that have none of the searchers.
func bareRegions(all []replica, regions map[modeler.FailureDomain]string) []string {
	var bare []string
	for _, region := range regions {
		has := slices.ContainsFunc(all, func(r replica) bool { return r.region == region })
		if !has && !slices.Contains(bare, region) {
			bare = append(bare, region)
		}
	}
	return bare
}

// replica is a searcher of a service as far as the choice among them depends on it.
type replica struct {
	searcher int32
	key      planner.Key
	region   string
}

// replicasOf returns the searchers of a service.
func replicasOf(view *planner.View, service int32, regions map[modeler.FailureDomain]string) []replica {
	out := make([]replica, len(view.Services[service].Searchers))
	for i, n := range view.Services[service].Searchers {
		s := &view.Searchers[n]
		out[i] = replica{n, planner.KeyOf(string(s.Name)), regions[s.FailureDomain]}
	}
	return out
}

// choice returns the searcher outside the VM's region that the VM chooses by rendezvous hash, or -1: the VMs spread over the searchers, and few choose anew when one comes or goes.
func choice(all []replica, vm *peer) int32 {
	best, least := int32(-1), uint64(0)
	for i := range all {
		if all[i].region == vm.region {
			continue
		}
		if x := all[i].key.Score(vm.key); best < 0 || x < least {
			best, least = all[i].searcher, x
		}
	}
	return best
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
