package planner

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Picker chooses replicas for the shards of one snapshot.
type Picker struct {
	View           *View
	Index          modeler.IndexName
	Snapshot       *Snapshot
	Random         func(n int) int                     // returns a number from 0 to n-1
	StallLimit     time.Duration                       // time without an answer after which a busy searcher is avoided; 0 unless on a route
	ConnectionNeed func(searcher int32) ConnectionNeed // nil if connections are not part of a searcher's cost
	Reserve        float64                             // fraction of a limited searcher's burst that is left to more urgent requests
	Spread         *Spread                             // nil if all first attempts may go to one failure domain
}

// Pick returns the cheapest candidate among the replicas of the shard that were not tried, or false if there is none.
// Replicas that drain, have left or are known to lack the snapshot are never candidates. Spread may exclude a failure
// domain from a first attempt. It is used nevertheless if no candidate is outside it, not even an ejected one.
//
// With a stall limit, replicas that are neither leaving, stalled nor ejected are preferred. If there are none, or
// without a stall limit, ejected replicas are candidates only if there are no others, or if more than
// observer.MaxEjectedShare of the replicas are excluded: ejected, draining, left, without the snapshot, or in the
// domain that Spread excludes.
func (p *Picker) Pick(now time.Time, shard int32, tried []int32) (int32, bool) {
	if p.Spread == nil || len(tried) > 0 {
		return p.pickOutside(now, shard, tried, noDomain)
	}
	r, ok := int32(0), false
	if domain, avoid := p.Spread.domainToAvoid(); avoid {
		r, ok = p.pickOutside(now, shard, tried, domain)
	}
	if !ok {
		r, ok = p.pickOutside(now, shard, tried, noDomain)
	}
	if ok {
		p.Spread.add(p.View.Searchers[r].Domain)
	}
	return r, ok
}

// noDomain differs from the number of every failure domain.
const noDomain = -1

// pickOutside picks a replica outside the failure domain avoid, or in any domain if that is noDomain.
func (p *Picker) pickOutside(now time.Time, shard int32, tried []int32, avoid int32) (int32, bool) {
	service := p.Snapshot.Shards[shard].Service
	if service < 0 {
		return 0, false
	}
	var buf [32]int32
	candidates, excluded := buf[:0], 0 // excluded is the number of replicas that are neither candidates nor tried
	all := p.View.Services[service].Searchers
	for _, r := range all {
		if p.isEligible(now, r, tried, avoid) && !p.View.Searchers[r].Health.Ejected(now) {
			candidates = append(candidates, r)
		}
	}
	excluded = len(all) - len(candidates) - len(tried)
	if preferred := p.responsive(now, candidates); len(preferred) > 0 {
		return p.cheapest(now, preferred, service)
	}
	if len(candidates) == 0 || float64(excluded) > observer.MaxEjectedShare*float64(len(all)) {
		candidates = candidates[:0]
		for _, r := range all {
			if p.isEligible(now, r, tried, avoid) {
				candidates = append(candidates, r)
			}
		}
	}
	return p.cheapest(now, candidates, service)
}

// isEligible reports whether a searcher is untried, lies outside the failure domain avoid, has not left, accepts a
// request now, and is not known to lack the snapshot.
func (p *Picker) isEligible(now time.Time, r int32, tried []int32, avoid int32) bool {
	if slices.Contains(tried, r) || p.View.Searchers[r].Domain == avoid {
		return false
	}
	return p.View.Searchers[r].Health.AcceptsRequest(now, p.Reserve) && p.mayHold(r)
}

// isAvailable reports whether a searcher neither drains nor has left, and is not known to lack the snapshot.
func (p *Picker) isAvailable(now time.Time, r int32) bool {
	health := p.View.Searchers[r].Health
	return !health.HasLeft(now) && !health.Draining(now) && p.mayHold(r)
}

// mayHold reports whether a searcher holds the snapshot or may hold it.
func (p *Picker) mayHold(r int32) bool {
	holds, known := p.View.Searchers[r].Health.HoldsSnapshot(p.Index, p.Snapshot.ID)
	return holds || !known
}

// responsive returns the candidates that are neither leaving nor stalled: attempts are under way at a stalled searcher,
// and it has answered none for longer than the stall limit. Without a stall limit, responsive returns none.
func (p *Picker) responsive(now time.Time, candidates []int32) []int32 {
	if p.StallLimit == 0 {
		return nil
	}
	out := make([]int32, 0, len(candidates))
	for _, r := range candidates {
		s := &p.View.Searchers[r]
		if s.Health.Registered() && !s.Health.Stalled(now, p.StallLimit) {
			out = append(out, r)
		}
	}
	return out
}

// cheapest returns the candidate with the lowest cost. Costs are multiplied by a little random jitter, so that
// searchers of equal cost share the load. With a stall limit, at most MaxCompared random candidates are compared.
// Without one, only two are, so that the shards of a query spread over failure domains.
func (p *Picker) cheapest(now time.Time, candidates []int32, service int32) (int32, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	limit := MaxCompared
	if p.StallLimit == 0 {
		limit = 2
	}
	if len(candidates) > limit {
		p.shuffle(candidates)
		candidates = candidates[:limit]
	}
	slots := p.View.Services[service].Contract.Slots
	best, least := candidates[0], math.Inf(1)
	for _, r := range candidates {
		s := &p.View.Searchers[r]
		jitter := 1 - CostJitter/2 + CostJitter*float64(p.Random(jitterSteps))/jitterSteps
		if cost := s.Health.Cost(now, slots, p.networkDelay(r)) * jitter; cost < least {
			best, least = r, cost
		}
	}
	return best, true
}

// ConnectionNeed says whether a connection to a searcher must be opened before a request can be sent.
type ConnectionNeed uint8

const (
	HasConnection          ConnectionNeed = iota // a connection is open and idle
	NeedsConnection                              // a connection must be opened
	NeedsConnectionAtLimit                       // a connection must be opened, and the searcher, at its connection limit, is likely to reset it
)

// networkDelay returns the round-trip time to a searcher. If a connection must be opened first, it counts twice and
// ConnectCost is added, and AtLimitCost as well if the connection is likely to be reset.
func (p *Picker) networkDelay(r int32) time.Duration {
	roundTrip := p.View.Searchers[r].RoundTrip
	if p.ConnectionNeed == nil {
		return roundTrip
	}
	switch p.ConnectionNeed(r) {
	case NeedsConnection:
		return 2*roundTrip + ConnectCost
	case NeedsConnectionAtLimit:
		return 2*roundTrip + ConnectCost + AtLimitCost
	}
	return roundTrip
}

func (p *Picker) shuffle(list []int32) {
	for i := len(list) - 1; i > 0; i-- {
		j := p.Random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// Constants of the comparison of searchers.
const (
	MaxCompared = 16                     // candidates compared at most, with a stall limit
	CostJitter  = 0.2                    // width of the range of factors, here 0.9 to 1.1
	jitterSteps = 1000                   // equally spaced factors in that range
	ConnectCost = 6 * time.Millisecond   // added if a connection must be opened
	AtLimitCost = 100 * time.Millisecond // added for a new connection that the searcher is likely to reset
)
