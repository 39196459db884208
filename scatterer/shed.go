package scatterer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// leaveOut plans without shards whose services are overloaded, as far as the least coverage allows.
func (r *run) leaveOut(plan *gatherer.Plan) {
	n := len(plan.Shards)
	if n < 2 || r.s.Shedder == nil {
		return
	}
	names := make([]modeler.ServiceName, n)
	for i, h := range r.req.Snapshot.Shards {
		names[i] = r.serviceName(h.Service)
	}
	for _, i := range r.s.Shedder.LeaveOut(r.start, names, spare(n, plan.LeastCoverage)) {
		plan.Shards[i].LeftOut = true
	}
}

// spare returns how many of n shards may be missing.
func spare(n int, leastCoverage float64) int {
	for k := 0; k < n; k++ {
		if float64(n-k-1)/float64(n) < leastCoverage {
			return k
		}
	}
	return n
}

// overloaded reports whether the service of a shard is overloaded.
func (r *run) overloaded(now time.Time, shard int32) bool {
	return r.s.Shedder != nil && len(r.req.Snapshot.Shards) > 1 && r.s.Shedder.Overloaded(now, r.serviceName(r.req.Snapshot.Shards[shard].Service))
}

// observeAnswer takes how long a shard took to answer into what is known of its service's queue.
func (r *run) observeAnswer(a gatherer.Action) {
	r.answered[a.Shard] = true
	now := r.s.now()
	r.observeShard(now, a.Shard, now.Sub(r.start)-r.req.View.Searchers[a.Searcher].Link)
}

// observeMissing takes the shards that did not answer in the time that the query could wait into what is known of their services.
func (r *run) observeMissing() {
	now := r.s.now()
	took := now.Sub(r.start)
	if r.s.Shedder == nil || len(r.answered) < 2 || took < r.couldWait() {
		return
	}
	for i := range r.answered {
		if !r.answered[i] && !r.plan.Shards[i].LeftOut {
			r.observeShard(now, int32(i), took)
		}
	}
}

func (r *run) observeShard(now time.Time, shard int32, took time.Duration) {
	if r.s.Shedder == nil || len(r.answered) < 2 {
		return
	}
	r.s.Shedder.Observe(now, r.serviceName(r.req.Snapshot.Shards[shard].Service), took, r.couldWait())
}

// couldWait returns how long the query waits for all of its shards.
func (r *run) couldWait() time.Duration { return r.plan.Patience.Sub(r.start) }
