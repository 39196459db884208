package scatterer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// end is what the goroutine of one attempt reports.
type end struct {
	event gatherer.Event
	reply dialer.Reply
	hits  []dialer.Hit
	wrong bool
}

// run is one query under way.
type run struct {
	s           *Scatterer
	req         Request
	picker      planner.Picker
	fingerprint observer.Fingerprint
	prefix      string
	query       *gatherer.Query
	plan        gatherer.Plan
	answered    []bool
	ends        chan end
	hedges      *limiter.Budget
	retries     *limiter.Budget
	cancels     []context.CancelFunc
	attempted   []int32
	start       time.Time
	reached     map[int32]bool
	hits        []dialer.Hit
	parts       []Part
	failure     *dialer.Reply
	faults      gatherer.FaultCounts
	notes       []recorder.Event
	sampled     bool
	shed        atomic.Int64
	crashed     bool
	notHeld     bool
}

func newRun(s *Scatterer, req Request) *run {
	r := &run{
		s: s, req: req,
		picker:      planner.Picker{View: req.View, Index: req.Index.Name, Snapshot: req.Snapshot, Random: s.random},
		fingerprint: fingerprintOf(&req),
		prefix:      string(req.ID) + "." + strconv.FormatUint(rand.Uint64(), 36) + ".",
		ends:        make(chan end, len(req.Snapshot.Shards)+eventSlack),
		start:       s.now(),
		reached:     make(map[int32]bool, len(req.Snapshot.Shards)),
		sampled:     s.Recorder.Sampled(req.ID),
	}
	policy := req.Index.Policy
	r.hedges, r.retries = s.Budgets.For(req.Index.Name, policy.HedgeShare, policy.RetryShare, len(req.Snapshot.Shards))
	plan := r.newPlan()
	hold := s.hold
	if req.Forward == nil {
		r.picker.Spread = planner.NewSpread(len(req.Snapshot.Shards))
	} else {
		r.picker.Stall = stallLimit(req.View, req.Snapshot)
		r.picker.SetUp = r.setUp
		r.forwardPlan(&plan)
		if len(plan.Shards) == 1 {
			hold = func(bool) bool { return false }
		}
	}
	r.leaveOut(&plan)
	r.plan = plan
	r.answered = make([]bool, len(plan.Shards))
	r.query = gatherer.NewQuery(plan, gatherer.Hooks{
		Pick:       r.picker.Pick,
		Spend:      r.spend,
		HedgeAfter: r.hedgeAfter,
		Hold:       hold,
		Matches:    s.matches,
	})
	r.notePlan(plan)
	return r
}

// setUp returns what has to be done before a searcher can be sent a request.
func (r *run) setUp(n int32) planner.SetUp {
	a := r.req.View.Searchers[n].Address
	switch {
	case r.s.Dialer.HasIdle(a):
		return planner.NoSetUp
	case r.s.Dialer.AtLimit(a):
		return planner.ConnectAtLimit
	}
	return planner.Connect
}

// fingerprintOf returns the fingerprint of a request's content.
func fingerprintOf(req *Request) observer.Fingerprint {
	if req.Forward != nil {
		return req.Forward.Fingerprint
	}
	return observer.FingerprintOf(req.Index.Name, req.Body)
}

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
		KnownGood:     r.s.Quarantine.KnownGood(r.fingerprint.At(r.req.Snapshot.ID), now),
	}
	if policy.Patience.Duration > 0 {
		plan.Patience = now.Add(policy.Patience.Duration)
	}
	for i, h := range r.req.Snapshot.Shards {
		plan.Shards[i] = gatherer.Shard{Name: h.Name, Documents: h.Documents}
	}
	return plan
}

// spend allows an extra attempt; under pressure only one on a new connection, which finds silent ones.
func (r *run) spend(now time.Time, shard int32, p gatherer.Purpose) bool {
	if r.req.Forward != nil {
		return r.spendWindow(now, shard, p)
	}
	if p != gatherer.Probe && r.s.pressed(now) {
		return false
	}
	return r.s.spend(p, r.hedges, r.retries)
}

func (r *run) hedgeAfter(shard int32) time.Duration {
	n := r.req.Snapshot.Shards[shard].Service
	if n < 0 {
		return observer.InitialHedge
	}
	if r.req.Forward != nil {
		return r.s.hedgeAt(r.req.View.Services[n].Health.HedgeAfterTypical())
	}
	return r.s.hedgeAt(r.req.View.Services[n].Health.HedgeDelay(r.s.now(), r.req.Index.Policy.HedgeQuantile))
}

// loop runs the query until it is done.
func (r *run) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	Drive(ctx, r.query, r.s.now, r.ends, r.event, r.act)
}

func (r *run) event(e *end) *gatherer.Event {
	if e.event.Kind == gatherer.EventFault {
		r.noteFault(e)
		r.logFault(e)
		r.faults[e.event.Fault]++
		if e.event.Fault == gatherer.FaultRejected {
			r.failure = &e.reply
		}
	}
	return &e.event
}

func (r *run) act(ctx context.Context, a gatherer.Action, e *end) {
	switch a.Kind {
	case gatherer.ActionSend:
		if a.Purpose == gatherer.Primary {
			r.earn()
		}
		r.send(ctx, a)
	case gatherer.ActionCancel:
		r.cancels[a.Attempt]()
		r.note(recorder.AttemptCancelled, a)
	case gatherer.ActionMerge:
		r.observeAnswer(a)
		r.hits = append(r.hits, e.hits...)
		if r.req.Forward != nil {
			r.parts = append(r.parts, Part{a.Shard, e.reply})
		}
		r.note(recorder.AttemptAnswered, a)
	case gatherer.ActionDrop:
		r.note(recorder.AnswerDropped, a)
	case gatherer.ActionCheck:
		r.check(ctx)
	case gatherer.ActionQuarantine:
		r.quarantine()
	case gatherer.ActionRestart:
		r.notHeld = true
	}
}

func (r *run) send(ctx context.Context, a gatherer.Action) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	r.attempted = append(r.attempted, a.Searcher)
	r.reached[a.Searcher] = true
	r.note(recorder.AttemptSent, a)
	r.logExtra(a)
	call := dialer.Call{
		Address:  r.req.View.Searchers[a.Searcher].Address,
		Path:     "/v1/search",
		Request:  r.req.ID,
		Attempt:  r.prefix + strconv.Itoa(int(a.Attempt)),
		Index:    r.req.Index.Name,
		Shard:    r.req.Snapshot.Shards[a.Shard].Name,
		Snapshot: r.req.Snapshot.ID,
		Deadline: r.req.Deadline.Add(-r.req.View.Searchers[a.Searcher].Link / 2),
		Body:     r.req.Body,
		Proven:   a.Purpose != gatherer.Primary,
		Fresh:    a.Purpose == gatherer.Probe,
		Linger:   r.req.View.Services[r.req.View.Searchers[a.Searcher].Service].Contract.SetUp.Duration,
	}
	if r.req.Forward != nil {
		r.forwardCall(&call, a)
	}
	go r.attempt(ctx, cancel, a, call)
}

// attempt runs one sub-query and reports its end on the run's channel.
func (r *run) attempt(ctx context.Context, cancel context.CancelFunc, a gatherer.Action, call dialer.Call) {
	defer cancel()
	searcher := &r.req.View.Searchers[a.Searcher]
	start := r.s.now()
	searcher.Health.Begin(start)
	e := r.exchange(ctx, a, call)
	r.learn(ctx, a, &e, r.s.now().Sub(start))
	if e.event.Fault == gatherer.FaultShed {
		r.shed.Add(1)
	}
	select {
	case r.ends <- e:
	case <-ctx.Done():
	}
}

// exchange sends one call and reads its answer; a panic on the way counts as an answer that cannot be read.
func (r *run) exchange(ctx context.Context, a gatherer.Action, call dialer.Call) (e end) {
	var err error
	defer func() {
		if err != nil {
			e = end{reply: dialer.Reply{Err: err}, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
		}
	}()
	defer spawner.Recover("attempt", &err)
	reply := r.s.Dialer.Do(ctx, call)
	if reply.Fault == gatherer.FaultNone {
		return r.decode(a, reply)
	}
	return end{reply: reply, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: reply.Fault}}
}

func (r *run) decode(a gatherer.Action, reply dialer.Reply) end {
	if r.req.Forward != nil {
		return r.accept(a, reply)
	}
	answer, err := parser.DecodeStrict[dialer.SearchAnswer](reply.Body)
	if err != nil {
		return end{reply: reply, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
	}
	claim := gatherer.Claim{
		Request:   answer.Request,
		Attempt:   attemptOf(r.prefix, answer.Attempt),
		Shard:     answer.Shard,
		Snapshot:  answer.Snapshot,
		Documents: answer.Documents,
	}
	shard := r.req.Snapshot.Shards[a.Shard]
	wrong := !gatherer.MatchesExactly(gatherer.Claim{
		Request: r.req.ID, Attempt: a.Attempt, Shard: shard.Name, Snapshot: r.req.Snapshot.ID, Documents: shard.Documents,
	}, claim)
	return end{reply: reply, hits: answer.Hits, wrong: wrong, event: gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: claim}}
}

// attemptOf returns the attempt of this run that an attempt id names, or -1; the prefix is random, for callers may use a request id again.
func attemptOf(prefix, s string) int32 {
	rest, ok := strings.CutPrefix(s, prefix)
	n, err := strconv.ParseInt(rest, 10, 32)
	if !ok || err != nil {
		return -1
	}
	return int32(n)
}
