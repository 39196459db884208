package scatterer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// markLeftOut marks shards of overloaded services as left out of the plan, as many as the least coverage allows.
func (r *run) markLeftOut(plan *gatherer.Plan) {
	n := len(plan.Shards)
	if n < 2 || r.s.Shedder == nil {
		return
	}
	names := make([]modeler.ServiceName, n)
	for i, shard := range r.req.Snapshot.Shards {
		names[i] = r.serviceName(shard.Service)
	}
	for _, i := range r.s.Shedder.LeaveOut(r.startedAt, names, maxMissing(n, plan.LeastCoverage)) {
		plan.Shards[i].LeftOut = true
	}
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
