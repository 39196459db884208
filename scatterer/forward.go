package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// stallLimit returns for how long a searcher may leave attempts unanswered before others are preferred. One part of many must not wait; a request to a single searcher may take as long as its service usually does.
func stallLimit(v *planner.View, s *planner.Snapshot) time.Duration {
	if len(s.Shards) != 1 || s.Shards[0].Service < 0 {
		return StallLimit
	}
	typical := v.Services[s.Shards[0].Service].Health.Typical()
	return max(StallLimit, time.Duration(StallFactor*typical))
}

// forwardPlan puts the policy of a route into the plan of a query.
func (r *run) forwardPlan(plan *gatherer.Plan) {
	f := r.req.Forward
	plan.Patience = f.Patience
	plan.MaxRuns = f.Attempts
	plan.AtMostOnce = f.AtMostOnce
	plan.FailFast = true
	plan.PayForAll = true
	if r.s.Windows == nil {
		return
	}
	now := r.s.now()
	for _, h := range r.req.Snapshot.Shards {
		r.s.Windows.Earn(now, r.serviceName(h.Service))
	}
}

// earn counts a first attempt into the budgets of a search; those of a route count when it starts.
func (r *run) earn() {
	if r.req.Forward != nil {
		return
	}
	r.hedges.Earn(1)
	r.retries.Earn(1)
}

// spendWindow allows an extra attempt within the allowance of the shard's service; part of it is left to retries.
func (r *run) spendWindow(now time.Time, shard int32, p gatherer.Purpose) bool {
	if p != gatherer.Retry && r.overloaded(now, shard) {
		return false
	}
	share := 1.0
	if p != gatherer.Retry {
		share = limiter.HedgeShare
	}
	return r.s.Windows.Spend(now, r.serviceName(r.req.Snapshot.Shards[shard].Service), share)
}

// forwardCall completes the call of an attempt on a route.
func (r *run) forwardCall(call *dialer.Call, a gatherer.Action) {
	call.Message = r.req.Forward.Message
	call.Expect = r.req.View.Searchers[a.Searcher].Name
	call.Deadline = r.req.Deadline
	call.Linger = SingleLinger
	if len(r.req.Snapshot.Shards) > 1 {
		call.Linger = PartLinger
		call.MostBytes = dialer.MaxPartBytes
	}
	call.Proven = r.req.Forward.AtMostOnce || needsProof(a.Purpose)
}

// needsProof reports whether an attempt may only use a connection that was read from lately. A first hedge may use any: connections to far searchers are seldom used, a new one takes longer than the objective allows, and should it be silent too, the attempt after it opens a new one.
func needsProof(p gatherer.Purpose) bool {
	switch p {
	case gatherer.Primary, gatherer.Hedge, gatherer.LateHedge:
		return false
	}
	return true
}

// accept takes an answer that the wire has already found to belong to the attempt.
func (r *run) accept(a gatherer.Action, reply dialer.Reply) end {
	shard := r.req.Snapshot.Shards[a.Shard]
	return end{reply: reply, event: gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: gatherer.Claim{
		Request: r.req.ID, Attempt: a.Attempt, Shard: shard.Name, Snapshot: r.req.Snapshot.ID, Documents: shard.Documents,
	}}}
}

func (r *run) serviceName(service int32) modeler.ServiceName {
	if service < 0 {
		return ""
	}
	return r.req.View.Services[service].Name
}

// suspectForward quarantines a request without any answer that crashed two searchers, now or in two runs.
func (r *run) suspectForward(ctx context.Context, lost []int32) {
	if r.crashed || r.query.Answered() > 0 || len(lost) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CheckTimeout)
	defer cancel()
	n := r.s.crashes(ctx, r.req.View, lost)
	if n == 0 {
		return
	}
	now := r.s.now()
	if again := r.s.Quarantine.Suspect(r.fingerprint, now); again || n >= gatherer.PoisonLosses {
		r.quarantine()
		return
	}
	r.s.suspect(r.fingerprint, now.Add(observer.QuarantinePeriod))
}
