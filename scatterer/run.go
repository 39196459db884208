package scatterer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// run is one query under way. Only shedAttempts is written by the goroutines of its attempts, which also read
// halfAnsweredAfter.
type run struct {
	s                 *Scatterer
	req               Request
	picker            planner.Picker
	fingerprint       observer.Fingerprint
	attemptPrefix     string // of the attempt ids of this run
	query             *gatherer.Query
	plan              gatherer.Plan
	answeredShards    []bool // by shard
	results           chan attemptResult
	hedgeBudget       *limiter.Budget
	retryBudget       *limiter.Budget
	cancels           []context.CancelFunc // by attempt
	attemptSearchers  []int32              // by attempt
	startedAt         time.Time
	reachedSearchers  map[int32]bool // searchers that were sent an attempt
	hits              []dialer.Hit
	shardReplies      []ShardReply     // of a request on a route
	signedShards      map[string]int32 // by signature: the shard of the reply that bears it
	rejection         *dialer.Reply    // the last reply with FaultRejected
	losses            []observer.Crash // lost attempts, whose searchers may have crashed
	faultCounts       gatherer.FaultCounts
	events            []recorder.Event
	isSampled         bool // the events are kept even if the query is complete without extra attempts
	shedAttempts      atomic.Int64
	halfAnsweredAfter atomic.Int64 // nanoseconds from the start; 0 until half of the shards have answered
	isSuspect         bool         // searchers have crashed that ran the request before
	quarantined       bool
	snapshotNotHeld   bool
}

func newRun(s *Scatterer, req Request) *run {
	shards := len(req.Snapshot.Shards)
	r := &run{
		s: s, req: req,
		fingerprint:      fingerprintOf(&req),
		attemptPrefix:    string(req.ID) + "." + strconv.FormatUint(rand.Uint64(), 36) + ".",
		answeredShards:   make([]bool, shards),
		results:          make(chan attemptResult, shards+extraResults),
		startedAt:        s.now(),
		reachedSearchers: make(map[int32]bool, shards),
		isSampled:        s.Recorder.Sampled(req.ID),
	}
	r.isSuspect = s.Quarantine.IsSuspect(r.fingerprint)
	policy := req.Index.Policy
	r.hedgeBudget, r.retryBudget = s.Budgets.For(req.Index.Name, policy.HedgeShare, policy.RetryShare, shards)
	r.picker = r.newPicker()
	r.plan = r.newPlan()
	r.query = gatherer.NewQuery(r.plan, r.hooks())
	r.recordPlan(r.plan)
	return r
}

// maySend reports whether the searcher may be sent requests now.
func (r *run) maySend(now time.Time, searcher int32) bool {
	return r.req.View.Searchers[searcher].Health.MaySend(now)
}

// spend reports whether an extra attempt is allowed. Under pressure a search may only send probes: their new
// connections show whether the open ones are silent.
func (r *run) spend(now time.Time, shard int32, p gatherer.Purpose) bool {
	if r.req.Forward != nil {
		return r.spendAllowance(now, shard, p)
	}
	if p != gatherer.Probe && r.s.underPressure(now) {
		return false
	}
	return r.s.spend(p, r.hedgeBudget, r.retryBudget)
}

// hedgeAfter returns the hedge delay of a shard: on a route a multiple of the typical latency of the shard's service,
// for a search a quantile of its latency.
func (r *run) hedgeAfter(shard int32) time.Duration {
	service := r.req.Snapshot.Shards[shard].Service
	if service < 0 {
		return observer.InitialHedge
	}
	if r.req.Forward != nil {
		return r.s.hedgeDelay(r.req.View.Services[service].Health.HedgeAfterTypical())
	}
	return r.s.hedgeDelay(r.req.View.Services[service].Health.HedgeDelay(r.s.now(), r.req.Index.Policy.HedgeQuantile))
}

// loop runs the query until it is done, and cancels what is still under way then.
func (r *run) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	Drive(ctx, r.query, r.s.now, r.results, r.toEvent, r.perform)
}

// toEvent returns the event of an attempt's result and records its fault, if any.
func (r *run) toEvent(res *attemptResult) *gatherer.Event {
	if r.isAnotherShards(res) {
		res.event = gatherer.Event{Kind: gatherer.EventFault, Attempt: res.event.Attempt, Fault: gatherer.FaultCrossed}
	}
	if res.event.Kind == gatherer.EventFault {
		r.recordFault(res)
		r.logFault(res)
		r.faultCounts[res.event.Fault]++
		if res.event.Fault == gatherer.FaultLost {
			r.losses = append(r.losses, r.lossOf(res))
		}
		if res.event.Fault == gatherer.FaultRejected {
			r.rejection = &res.reply
		}
	}
	return &res.event
}

// perform carries out an action of the query; res is the attempt's result that caused it, if any.
func (r *run) perform(ctx context.Context, a gatherer.Action, res *attemptResult) {
	switch a.Kind {
	case gatherer.ActionSend:
		if a.Purpose == gatherer.Primary {
			r.earnBudgets()
		}
		r.send(ctx, a)
	case gatherer.ActionCancel:
		r.cancels[a.Attempt]()
		r.recordAttempt(recorder.AttemptCancelled, a)
	case gatherer.ActionMerge:
		r.observeAnswer(a)
		r.noteHalfAnswered(r.s.now())
		r.hits = append(r.hits, res.hits...)
		if r.req.Forward != nil {
			r.addShardReply(a.Shard, res.reply)
		}
		r.recordAttempt(recorder.AttemptAnswered, a)
	case gatherer.ActionDrop:
		r.recordAttempt(recorder.AnswerDropped, a)
	case gatherer.ActionCheck:
		r.startDiagnosis(ctx)
	case gatherer.ActionQuarantine:
		r.quarantine()
	case gatherer.ActionRestart:
		r.snapshotNotHeld = true
	}
}
