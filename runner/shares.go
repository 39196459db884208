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

// shareCache caches this VM's share of the connections of each searcher. It is reset when the view changes, and by the
// next upkeep after the members or the start phase changed.
type shareCache struct {
	mu     sync.Mutex
	byName map[searcherKey]limiter.Share
	peers  []peer
	stale  bool
}

func (c *shareCache) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName, c.peers = nil, nil
	c.stale = false
}

// markStale makes the next upkeep reset the cache. A change of members does not reset it at once, because often many
// members change at the same time.
func (c *shareCache) markStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = true
}

// isStale reports whether the members have changed since the cache was reset.
func (c *shareCache) isStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale
}

// searcherKey names a searcher at an address, which entries of others may name too.
type searcherKey struct {
	address netip.AddrPort
	name    modeler.SearcherName
}

// get returns the share of a searcher, and computes it if it is not cached.
func (c *shareCache) get(k searcherKey, compute func() limiter.Share) limiter.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.byName[k]
	if !ok {
		if c.byName == nil {
			c.byName = map[searcherKey]limiter.Share{}
		}
		s = compute()
		c.byName[k] = s
	}
	return s
}

// connectionShare returns this VM's share of the connections of a searcher. VMs that sharerCount assumes but that are
// not known count as far. ShareOfThin is tried first, because its result is zero unless the service is thin.
func (v *VM) connectionShare(view *planner.View, n int32) limiter.Share {
	s := &view.Searchers[n]
	return v.shares.get(searcherKey{s.Address, s.Name}, func() limiter.Share {
		// get holds the lock of v.shares here.
		if v.shares.peers == nil {
			v.shares.peers = v.membership.Load().peerVMs(v.cfg.Routing.Regions)
		}
		near, far, remote, c := v.candidacy(view, n, v.shares.peers)
		unknown := max(0, v.sharerCount()-near-far)
		connections := view.Services[s.Service].Contract.Connections
		if share := limiter.ShareOfThin(connections, near, far-remote+unknown, remote, c); share.Limit > 0 {
			return share
		}
		return limiter.ShareOf(connections, near, far+unknown, c)
	})
}

// peer holds the properties of a live VM on which the shares depend.
type peer struct {
	hash   planner.NameHash
	region string
}

// peerVMs returns the live VMs, including this one.
func (m *membership) peerVMs(regions map[modeler.FailureDomain]string) []peer {
	out := make([]peer, len(m.members))
	for i := range m.members {
		out[i] = peer{planner.HashName(string(m.members[i].Name)), regions[m.members[i].Domain]}
	}
	return out
}

// candidacy counts the VMs in a searcher's region (near), the VMs outside it (far), and the far VMs that have no
// searcher of the same service in their region (remote). It also returns this VM as a candidate for connections to
// the searcher, with its rank among the VMs that may hold them. Each VM chooses one far searcher of a service,
// because one is enough to send a hedge without opening a connection first.
func (v *VM) candidacy(view *planner.View, n int32, peers []peer) (near, far, remote int, c limiter.Candidate) {
	self := peer{planner.HashName(string(v.cfg.Name)), v.cfg.Routing.Regions[v.cfg.FailureDomain]}
	all := replicasOf(view, view.Searchers[n].Service, v.cfg.Routing.Regions)
	s := &all[slices.IndexFunc(all, func(r replica) bool { return r.searcher == n })]
	c.Near = s.region == self.region
	uncovered := regionsWithoutSearcher(all, v.cfg.Routing.Regions)
	c.Remote = slices.Contains(uncovered, self.region)
	c.Eligible = c.Near || chosenSearcher(all, &self) == n
	c.Settled = !v.isUnsettled()
	selfScore := s.hash.Score(self.hash)
	for i := range peers {
		vm := &peers[i]
		isNear := vm.region == s.region
		if isNear {
			near++
		} else {
			far++
		}
		if len(uncovered) > 0 && slices.Contains(uncovered, vm.region) {
			remote++
		}
		if isNear == c.Near && c.Eligible && s.hash.Score(vm.hash) < selfScore && (isNear || chosenSearcher(all, vm) == n) {
			c.Rank++
		}
	}
	return near, far, remote, c
}

// isUnsettled reports whether searchers may still count the connections of an earlier incarnation of the fleet: those
// from before all its VMs restarted. It is true in the phases starting and unsettled.
func (v *VM) isUnsettled() bool { return time.Since(v.startedAt) < SettlePeriod }

// regionsWithoutSearcher returns the regions in which no replica runs.
func regionsWithoutSearcher(all []replica, regions map[modeler.FailureDomain]string) []string {
	var uncovered []string
	for _, region := range regions {
		covered := slices.ContainsFunc(all, func(r replica) bool { return r.region == region })
		if !covered && !slices.Contains(uncovered, region) {
			uncovered = append(uncovered, region)
		}
	}
	return uncovered
}

// replica holds the properties of a searcher of a service on which the shares depend.
type replica struct {
	searcher int32
	hash     planner.NameHash
	region   string
}

// replicasOf returns the searchers of a service as replicas.
func replicasOf(view *planner.View, service int32, regions map[modeler.FailureDomain]string) []replica {
	out := make([]replica, len(view.Services[service].Searchers))
	for i, n := range view.Services[service].Searchers {
		s := &view.Searchers[n]
		out[i] = replica{n, planner.HashName(string(s.Name)), regions[s.FailureDomain]}
	}
	return out
}

// chosenSearcher returns the searcher outside the VM's region that the VM chooses by rendezvous hash, or -1 if there is
// none. The hash spreads the VMs over the searchers, and few VMs change their choice when a searcher comes or goes.
func chosenSearcher(all []replica, vm *peer) int32 {
	best, lowest := int32(-1), uint64(0)
	for i := range all {
		if all[i].region == vm.region {
			continue
		}
		if score := all[i].hash.Score(vm.hash); best < 0 || score < lowest {
			best, lowest = all[i].searcher, score
		}
	}
	return best
}

// isHolder reports whether this VM may keep connections to a searcher open.
func (v *VM) isHolder(view *planner.View, n int32) bool { return v.connectionShare(view, n).Holder }

// startPhase is a phase after a VM's start. The VM's shares of connections depend on it.
type startPhase uint8

const (
	starting  startPhase = iota // not all members may be known yet
	unsettled                   // searchers may still count the connections of an earlier incarnation of the fleet
	settled
)

// refreshShares resets the shares and applies the new connection budgets if the members changed or the VM entered a
// later phase.
func (v *VM) refreshShares(p *startPhase) {
	phase := starting
	switch up := time.Since(v.startedAt); {
	case up >= SettlePeriod:
		phase = settled
	case up >= LearnPeriod:
		phase = unsettled
	}
	if phase != *p || v.shares.isStale() {
		*p = phase
		v.shares.reset()
		v.dialer.Rebudget()
	}
}
