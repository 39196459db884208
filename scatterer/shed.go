package scatterer

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// markLeftOut marks shards as left out of the plan, as many as the least coverage allows: first those whose searchers'
// limits are nearly used up, then those of overloaded services.
func (r *run) markLeftOut(plan *gatherer.Plan) {
	n := len(plan.Shards)
	if n < 2 || r.req.Forward == nil {
		return
	}
	limit := maxMissing(n, plan.LeastCoverage)
	for _, i := range r.scarceShards(limit) {
		plan.Shards[i].LeftOut = true
		limit--
	}
	r.markOverloaded(plan, limit)
}

// markOverloaded marks at most limit shards of overloaded services as left out.
func (r *run) markOverloaded(plan *gatherer.Plan, limit int) {
	if r.s.Shedder == nil {
		return
	}
	names := make([]modeler.ServiceName, len(plan.Shards))
	for i, shard := range r.req.Snapshot.Shards {
		names[i] = r.serviceName(shard.Service)
	}
	for _, i := range r.s.Shedder.LeaveOut(r.startedAt, names, limit) {
		plan.Shards[i].LeftOut = true
	}
}

// scarceShards returns at most limit shards that the request goes without; see chooseScarce.
func (r *run) scarceShards(limit int) []int {
	scarcity := make([]float64, len(r.req.Snapshot.Shards))
	for i := range scarcity {
		scarcity[i] = r.picker.Scarcity(r.startedAt, int32(i))
	}
	draw := func() float64 { return float64(r.s.random(fractionSteps)) / fractionSteps }
	return chooseScarce(scarcity, limit, draw)
}

// chooseScarce chooses at most limit shards that a request goes without, the scarcest first, so that requests that can't
// do without them find searchers that take requests. The scarcer a shard, the more requests go without it; up to
// FreeScarcity none does. The function draw returns a random number from 0 to 1.
func chooseScarce(scarcity []float64, limit int, draw func() float64) []int {
	var chosen []int
	for i, x := range scarcity {
		if x > FreeScarcity && (x-FreeScarcity)/(1-FreeScarcity) > draw() {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(scarcity[b], scarcity[a]) })
	return chosen[:min(len(chosen), limit)]
}

// searcherWait returns how long it takes until enough shards for the least coverage have searchers that take requests. It
// is 0 if they have now, and if an attempt was sent.
func (r *run) searcherWait(now time.Time) time.Duration {
	if r.query.RequestedAttempts() > 0 {
		return 0
	}
	waits := make([]time.Duration, len(r.plan.Shards))
	for i := range waits {
		waits[i] = r.picker.Wait(now, int32(i))
	}
	slices.Sort(waits)
	needed := len(waits) - maxMissing(len(waits), r.plan.LeastCoverage)
	return waits[max(0, needed-1)]
}

// maxMissing returns how many of n shards may be missing without falling below the least coverage.
func maxMissing(n int, leastCoverage float64) int {
	for k := 0; k < n; k++ {
		if float64(n-k-1)/float64(n) < leastCoverage {
			return k
		}
	}
	return n
}

// overloaded reports whether the service of a shard of a multi-shard request is overloaded.
func (r *run) overloaded(now time.Time, shard int32) bool {
	return r.s.Shedder != nil && len(r.req.Snapshot.Shards) > 1 && r.s.Shedder.Overloaded(now, r.serviceName(r.req.Snapshot.Shards[shard].Service))
}

// observeAnswer reports to the shedder how long a shard took to answer, without the network delay to its searcher.
func (r *run) observeAnswer(a gatherer.Action) {
	r.answeredShards[a.Shard] = true
	now := r.s.now()
	r.observeLatency(now, a.Shard, now.Sub(r.startedAt)-r.req.View.Searchers[a.Searcher].RoundTrip)
}

// observeMissing reports to the shedder the shards that did not answer although the query waited up to its limit.
func (r *run) observeMissing() {
	now := r.s.now()
	took := now.Sub(r.startedAt)
	if r.s.Shedder == nil || len(r.answeredShards) < 2 || took < r.waitLimit() {
		return
	}
	for i := range r.answeredShards {
		if !r.answeredShards[i] && !r.plan.Shards[i].LeftOut {
			r.observeLatency(now, int32(i), took)
		}
	}
}

func (r *run) observeLatency(now time.Time, shard int32, took time.Duration) {
	if r.s.Shedder == nil || len(r.answeredShards) < 2 {
		return
	}
	r.s.Shedder.Observe(now, r.serviceName(r.req.Snapshot.Shards[shard].Service), took, r.waitLimit())
}

// waitLimit returns how long the query waits for all of its shards before the least coverage is enough.
func (r *run) waitLimit() time.Duration { return r.plan.Patience.Sub(r.startedAt) }
