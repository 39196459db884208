package replayer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// Option replaces a rule of the query for one replay.
type Option func(*replay)

// WithHold replaces the rule that decides whether a query must not reach a second replica of a shard yet. The rule
// returns true to forbid it. Its argument cleared is true once the query is known not to crash searchers: it has an
// answer, or its plan says KnownGood.
func WithHold(f func(cleared bool) bool) Option { return func(r *replay) { r.hold = f } }

// WithMatch replaces the rule that accepts a sub-answer if its claim matches the attempt.
func WithMatch(f func(want, got gatherer.Claim) bool) Option {
	return func(r *replay) { r.matches = f }
}

// replay is the state of one replay of a trace.
type replay struct {
	trace         Trace
	query         *gatherer.Query
	now           time.Time
	searcherIDs   map[modeler.SearcherName]int32
	recordedSends []recorder.Event
	sent          []gatherer.Action
	otherActions  []gatherer.Action
	hold          func(cleared bool) bool
	matches       func(want, got gatherer.Claim) bool
}

// Run replays a trace and returns its outcome.
func Run(t Trace, options ...Option) Outcome {
	r := &replay{trace: t, searcherIDs: map[modeler.SearcherName]int32{}, hold: gatherer.HoldUntilCleared, matches: gatherer.MatchesExactly}
	for _, o := range options {
		o(r)
	}
	for _, e := range t.Events {
		if e.Kind == recorder.AttemptSent {
			r.recordedSends = append(r.recordedSends, e)
		}
	}
	r.now = t.Pinned.At.Time()
	r.query = gatherer.NewQuery(r.plan(), gatherer.Hooks{
		Pick: r.pick, Spend: r.spend, Hold: r.hold, Matches: r.matches,
		HedgeAfter: func(shard int32) time.Duration { return t.Pinned.Plan.Shards[shard].Hedge.Duration },
	})
	r.handle(gatherer.Event{Kind: gatherer.EventStart})
	for _, e := range t.Events {
		r.now = e.At.Time()
		r.feed(e)
	}
	// Past the deadline, so that the query ends even if the trace does not.
	r.now = r.now.Add(t.Pinned.Plan.Deadline.Duration)
	r.handle(gatherer.Event{Kind: gatherer.EventTick})
	return r.outcome()
}

func (r *replay) plan() gatherer.Plan {
	recordedPlan := r.trace.Pinned.Plan
	p := gatherer.Plan{
		Request: r.trace.Pinned.Request, Snapshot: recordedPlan.Snapshot, LeastCoverage: recordedPlan.LeastCoverage, KnownGood: recordedPlan.KnownGood, Probes: gatherer.CanaryProbes,
		Deadline: r.now.Add(recordedPlan.Deadline.Duration), Patience: r.now.Add(recordedPlan.Patience.Duration),
	}
	for _, s := range recordedPlan.Shards {
		p.Shards = append(p.Shards, gatherer.Shard{Name: s.Name, Documents: s.Documents})
	}
	return p
}

// nextRecordedSend returns the attempt that the trace sent next, and whether it is for the shard.
func (r *replay) nextRecordedSend(shard int32) (recorder.Event, bool) {
	if r.query.RequestedAttempts() >= len(r.recordedSends) {
		return recorder.Event{}, false
	}
	e := r.recordedSends[r.query.RequestedAttempts()]
	return e, e.Shard == r.trace.Pinned.Plan.Shards[shard].Name
}

// pick repeats the recorded choice. Where the replay departs from the trace, it returns a made-up searcher that was not
// tried; the numbers of such searchers start far above those of recorded ones.
func (r *replay) pick(_ time.Time, shard int32, tried []int32) (int32, bool) {
	if e, ok := r.nextRecordedSend(shard); ok {
		return r.searcherID(e.Searcher), true
	}
	madeUp := int32(1<<20) + shard*gatherer.MaxAttempts + int32(len(tried))
	return madeUp, true
}

// spend grants an attempt that has the purpose of the trace's next attempt; after the last attempt of the trace it
// grants only retries.
func (r *replay) spend(_ time.Time, _ int32, p gatherer.Purpose) bool {
	if r.query.RequestedAttempts() >= len(r.recordedSends) {
		return p == gatherer.Retry
	}
	return r.recordedSends[r.query.RequestedAttempts()].Purpose == p.String()
}

func (r *replay) searcherID(name modeler.SearcherName) int32 {
	id, ok := r.searcherIDs[name]
	if !ok {
		id = int32(len(r.searcherIDs))
		r.searcherIDs[name] = id
	}
	return id
}

// feed hands an event of the trace to the query. Kinds that are not named here have no effect. A trace holds no
// verdicts, so a recorded quarantine is fed as the verdict Poisonous.
func (r *replay) feed(e recorder.Event) {
	switch e.Kind {
	case recorder.AttemptSent:
		// No earlier event made the replay send this attempt, so a timer must be due that sends it.
		if int(e.Attempt) >= len(r.sent) {
			r.handle(gatherer.Event{Kind: gatherer.EventTick})
		}
	case recorder.AttemptAnswered:
		r.handle(gatherer.Event{Kind: gatherer.EventAnswer, Attempt: e.Attempt, Claim: r.claim(e.Attempt)})
	case recorder.AnswerDropped:
		// Attempt -1 matches no attempt, so that the replay drops the answer too.
		c := r.claim(e.Attempt)
		c.Attempt = -1
		r.handle(gatherer.Event{Kind: gatherer.EventAnswer, Attempt: e.Attempt, Claim: c})
	case recorder.AttemptFailed:
		r.handle(gatherer.Event{Kind: gatherer.EventFault, Attempt: e.Attempt, Fault: gatherer.ParseFault(e.Fault)})
	case recorder.RequestQuarantined:
		r.handle(gatherer.Event{Kind: gatherer.EventVerdict, Verdict: gatherer.Poisonous})
	}
}

// claim returns the claim of a correct answer to the attempt.
func (r *replay) claim(attempt int32) gatherer.Claim {
	if int(attempt) >= len(r.sent) {
		return gatherer.Claim{}
	}
	s := r.trace.Pinned.Plan.Shards[r.sent[attempt].Shard]
	return gatherer.Claim{
		Request: r.trace.Pinned.Request, Attempt: attempt, Shard: s.Name, Snapshot: r.trace.Pinned.Plan.Snapshot, Documents: s.Documents,
	}
}

func (r *replay) handle(e gatherer.Event) {
	for _, a := range r.query.Handle(r.now, &e, nil) {
		if a.Kind == gatherer.ActionSend {
			r.sent = append(r.sent, a)
		} else {
			r.otherActions = append(r.otherActions, a)
		}
	}
}

func (r *replay) outcome() Outcome {
	out := Outcome{Answered: r.query.AnsweredShards(), Missing: len(r.query.MissingShards()), Sent: len(r.sent)}
	replicas := map[int32][]int32{}
	for _, a := range r.sent {
		if !slices.Contains(replicas[a.Shard], a.Searcher) {
			replicas[a.Shard] = append(replicas[a.Shard], a.Searcher)
		}
	}
	for _, tried := range replicas {
		if len(tried) > 1 {
			out.SecondReplicas++
		}
	}
	for _, a := range r.otherActions {
		switch a.Kind {
		case gatherer.ActionDrop:
			out.Dropped++
		case gatherer.ActionQuarantine:
			out.Quarantined = true
		}
	}
	return out
}
