package runner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// quotaPart returns this VM's part of the requests a second that a searcher takes from all VMs together. VMs that died or
// left lately count too, since they may only be cut off.
func (v *VM) quotaPart(s *planner.Searcher, perSecond float64) limiter.QuotaPart {
	m := v.membership.Load()
	vms := len(m.recent)
	if time.Since(v.startedAt) < LearnPeriod || vms <= 1 {
		vms = max(vms, UnknownFleetSize)
	}
	return limiter.QuotaPartOf(perSecond, vms, v.quotaRank(m, s))
}

// quotaRank returns this VM's rank among the VMs that share a searcher's limit: near VMs come first, and within the near
// and the far ones those with the lowest rendezvous hash.
func (v *VM) quotaRank(m *membership, s *planner.Searcher) int {
	regions := v.cfg.Routing.Regions
	searcher := planner.HashName(string(s.Name))
	region := regions[s.FailureDomain]
	self := searcher.Score(planner.HashName(string(v.cfg.Name)))
	selfNear := regions[v.cfg.FailureDomain] == region
	rank := 0
	for i := range m.recent {
		near := regions[m.recent[i].Domain] == region
		score := searcher.Score(planner.HashName(string(m.recent[i].Name)))
		if near && !selfNear || near == selfNear && score < self {
			rank++
		}
	}
	return rank
}

// reportLimit logs that a searcher's answers begin or cease to state a limit.
func (v *VM) reportLimit(s *planner.Searcher, l modeler.RateLimit, change observer.LimitChange) {
	if change == observer.LimitEnded {
		klog.InfoS("searcher: limit", "searcher", string(s.Name), "address", s.Address.String(), "limited", false)
		return
	}
	v.counter("searchers.limited").Inc(1)
	part := v.quotaPart(s, l.PerSecond)
	klog.InfoS("searcher: limit", "searcher", string(s.Name), "address", s.Address.String(), "limited", true, "per-second", l.PerSecond,
		"part-per-second", part.Rate, "burst", part.Burst, "vms", len(v.membership.Load().recent))
}
