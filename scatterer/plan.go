package scatterer

import (
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// newPicker returns the picker of the request's searchers: a search spreads its shards over them, a route keeps to their
// limits and connections.
func (r *run) newPicker() planner.Picker {
	p := planner.Picker{View: r.req.View, Index: r.req.Index.Name, Snapshot: r.req.Snapshot, Random: r.s.random}
	if r.req.Forward == nil {
		p.Spread = planner.NewSpread(len(r.req.Snapshot.Shards))
		return p
	}
	p.Reserve = r.req.Forward.Reserve
	p.StallLimit = stallLimit(r.req.View, r.req.Snapshot)
	p.ConnectionNeed = r.connectionNeed
	return p
}

// hooks returns the decisions that the query leaves to the run.
func (r *run) hooks() gatherer.Hooks {
	hold := r.s.hold
	if r.req.Forward != nil && len(r.plan.Shards) == 1 {
		// A single shard is never held: no other shard's answer could release it.
		hold = func(bool) bool { return false }
	}
	return gatherer.Hooks{
		Pick:       r.picker.Pick,
		MaySend:    r.maySend,
		Spend:      r.spend,
		HedgeAfter: r.hedgeAfter,
		Hold:       hold,
		Matches:    r.s.matches,
	}
}

// newPlan returns the plan of the request, with the policy of its index or route.
func (r *run) newPlan() gatherer.Plan {
	policy := r.req.Index.Policy
	now := r.s.now()
	plan := gatherer.Plan{
		Request:       r.req.ID,
		Snapshot:      r.req.Snapshot.ID,
		Shards:        make([]gatherer.Shard, len(r.req.Snapshot.Shards)),
		Deadline:      r.req.Deadline,
		Patience:      r.req.Deadline,
		LeastCoverage: policy.LeastCoverage,
		Probes:        gatherer.CanaryProbes,
		KnownGood:     r.s.Quarantine.KnownGood(r.fingerprint, r.req.Snapshot.ID, now),
	}
	if policy.Patience.Duration > 0 {
		plan.Patience = now.Add(policy.Patience.Duration)
	}
	for i, shard := range r.req.Snapshot.Shards {
		plan.Shards[i] = gatherer.Shard{Name: shard.Name, Documents: shard.Documents}
	}
	if r.req.Forward != nil {
		r.forwardPlan(&plan)
	}
	r.markLeftOut(&plan)
	return plan
}

// fingerprintOf returns the fingerprint of a request's content.
func fingerprintOf(req *Request) observer.Fingerprint {
	if req.Forward != nil {
		return req.Forward.Fingerprint
	}
	return observer.FingerprintOf(req.Index.Name, req.Body)
}

// connectionNeed returns whether a connection to the searcher is idle, must be opened, or must be opened although the
// searcher is at its connection limit.
func (r *run) connectionNeed(searcher int32) planner.ConnectionNeed {
	address := r.req.View.Searchers[searcher].Address
	switch {
	case r.s.Dialer.HasIdle(address, r.req.ID):
		return planner.HasConnection
	case r.s.Dialer.AtLimit(address):
		return planner.NeedsConnectionAtLimit
	}
	return planner.NeedsConnection
}
