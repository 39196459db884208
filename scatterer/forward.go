package scatterer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// stallLimit returns how long a searcher may leave its attempts unanswered before other searchers are preferred. A
// request over many shards is as slow as its slowest shard, so none of its attempts may wait. A single-shard request may
// take StallFactor times the typical latency of its service, if that is longer than StallLimit.
func stallLimit(v *planner.View, s *planner.Snapshot) time.Duration {
	if len(s.Shards) != 1 || s.Shards[0].Service < 0 {
		return StallLimit
	}
	typical := v.Services[s.Shards[0].Service].Health.TypicalLatency()
	return max(StallLimit, time.Duration(StallFactor*typical))
}

// forwardPlan puts the policy of a route into the plan, and counts one request for the service of each shard.
func (r *run) forwardPlan(plan *gatherer.Plan) {
	f := r.req.Forward
	plan.Patience = f.Patience
	plan.MaxRuns = f.MaxRuns
	plan.AtMostOnce = f.AtMostOnce
	plan.FailFast = true
	plan.ChargeEveryRetry = true
	if r.s.Windows == nil {
		return
	}
	now := r.s.now()
	for _, shard := range r.req.Snapshot.Shards {
		r.s.Windows.Earn(now, r.serviceName(shard.Service))
	}
}

// earnBudgets counts a first attempt in the budgets of a search. The budgets of a route are counted in forwardPlan.
func (r *run) earnBudgets() {
	if r.req.Forward != nil {
		return
	}
	r.hedgeBudget.Earn(1)
	r.retryBudget.Earn(1)
}

// spendAllowance takes an extra attempt from the allowance of the shard's service and reports whether it is allowed.
// Only retries may use the whole allowance and go to an overloaded service.
func (r *run) spendAllowance(now time.Time, shard int32, p gatherer.Purpose) bool {
	if p != gatherer.Retry && r.overloaded(now, shard) {
		return false
	}
	return r.s.Windows.Spend(now, r.serviceName(r.req.Snapshot.Shards[shard].Service), r.allowanceShare(p))
}

// forwardCall sets the fields in which the call of an attempt on a route differs from that of a search. The call has the
// deadline of the request itself, and lingers for PartLinger if there are several shards, for SingleLinger otherwise.
func (r *run) forwardCall(call *dialer.Call, a gatherer.Action) {
	call.Message = r.req.Forward.Message
	call.ExpectedSearcher = r.req.View.Searchers[a.Searcher].Name
	call.Deadline = r.req.Deadline
	call.Linger = SingleLinger
	if len(r.req.Snapshot.Shards) > 1 {
		call.Linger = PartLinger
		call.MaxBodyBytes = dialer.MaxPartBytes
	}
	call.ProvenOnly = r.req.Forward.AtMostOnce || needsProof(a.Purpose)
	call.NewConnection = call.NewConnection || r.mayCrash()
}

// needsProof reports whether an attempt on a route may only use a connection that was read from lately. Primary attempts
// and hedges may use any. For hedges the reason is that connections to distant searchers are seldom used, and opening a
// new one takes longer than the latency objective allows. If the connection of a hedge is silent too, the next attempt
// opens a new one. The attempts of an at-most-once request always need the proof; see forwardCall.
func needsProof(p gatherer.Purpose) bool {
	switch p {
	case gatherer.Primary, gatherer.Hedge, gatherer.LateHedge:
		return false
	}
	return true
}

// forwardResult returns the result of an answered attempt on a route. Its claim is the one that was asked for: the wire
// (dialer.Wire) has already rejected answers to other requests.
func (r *run) forwardResult(a gatherer.Action, reply dialer.Reply) attemptResult {
	shard := r.req.Snapshot.Shards[a.Shard]
	return attemptResult{reply: reply, shard: a.Shard, event: gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: gatherer.Claim{
		Request: r.req.ID, Attempt: a.Attempt, Shard: shard.Name, Snapshot: r.req.Snapshot.ID, Documents: shard.Documents,
	}}}
}

// addShardReply adds the answer of a shard to those that the caller gets.
func (r *run) addShardReply(shard int32, reply dialer.Reply) {
	if r.signedShards == nil {
		r.signedShards = make(map[string]int32, len(r.plan.Shards))
	}
	r.signedShards[reply.Signature] = shard
	r.shardReplies = append(r.shardReplies, ShardReply{shard, reply})
}

// isAnotherShards reports whether an answer on a route bears the signature of another shard's answer. A signature is that of
// one answer, so one of the two is not its shard's.
func (r *run) isAnotherShards(res *attemptResult) bool {
	if r.req.Forward == nil || res.event.Kind != gatherer.EventAnswer {
		return false
	}
	shard, ok := r.signedShards[res.reply.Signature]
	return ok && shard != res.shard
}

// serviceName returns the name of a service of the view, or an empty name if the shard has no service (a negative
// number).
func (r *run) serviceName(service int32) modeler.ServiceName {
	if service < 0 {
		return ""
	}
	return r.req.View.Services[service].Name
}
