package replayer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// Option changes a replay.
type Option func(*replay)

// WithHold sets the rule that keeps a query with a lost connection from a second replica.
func WithHold(f func(cleared bool) bool) Option { return func(r *replay) { r.hold = f } }

// WithMatch sets the rule by which a sub-answer is accepted.
func WithMatch(f func(want, got gatherer.Claim) bool) Option {
	return func(r *replay) { r.matches = f }
}

// replay is one trace under way.
type replay struct {
	trace   Trace
	query   *gatherer.Query
	now     time.Time
	ids     map[modeler.SearcherName]int32
	sends   []recorder.Event
	sent    []gatherer.Action
	other   []gatherer.Action
	hold    func(cleared bool) bool
	matches func(want, got gatherer.Claim) bool
}

// Run replays a trace and returns what it came to.
func Run(t Trace, options ...Option) Expectation {
	r := &replay{trace: t, ids: map[modeler.SearcherName]int32{}, hold: gatherer.HoldUntilCleared, matches: gatherer.MatchesExactly}
	for _, o := range options {
		o(r)
	}
	for _, e := range t.Events {
		if e.Kind == recorder.AttemptSent {
			r.sends = append(r.sends, e)
		}
	}
	r.now = t.Plan.At.Time()
	r.query = gatherer.NewQuery(r.plan(), gatherer.Hooks{
		Pick: r.pick, Spend: r.spend, Hold: r.hold, Matches: r.matches,
		HedgeAfter: func(shard int32) time.Duration { return t.Plan.Plan.Shards[shard].Hedge.Duration },
	})
	r.do(gatherer.Event{Kind: gatherer.EventStart})
	for _, e := range t.Events {
		r.now = e.At.Time()
		r.take(e)
	}
	r.now = r.now.Add(t.Plan.Plan.Deadline.Duration)
	r.do(gatherer.Event{Kind: gatherer.EventTick})
	return r.outcome()
}

func (r *replay) plan() gatherer.Plan {
	n := r.trace.Plan.Plan
	p := gatherer.Plan{
		Request: r.trace.Plan.Request, Snapshot: n.Snapshot, LeastCoverage: n.LeastCoverage, KnownGood: n.KnownGood, Probes: gatherer.CanaryProbes,
		Deadline: r.now.Add(n.Deadline.Duration), Patience: r.now.Add(n.Patience.Duration),
	}
	for _, s := range n.Shards {
		p.Shards = append(p.Shards, gatherer.Shard{Name: s.Name, Documents: s.Documents})
	}
	return p
}

// recorded returns the attempt that the trace sent next, if it is one of the shard.
func (r *replay) recorded(shard int32) (recorder.Event, bool) {
	if r.query.Sent() >= len(r.sends) {
		return recorder.Event{}, false
	}
	e := r.sends[r.query.Sent()]
	return e, e.Shard == r.trace.Plan.Plan.Shards[shard].Name
}

// pick repeats the recorded choice; where the decisions go another way than the trace, any searcher not tried serves.
func (r *replay) pick(_ time.Time, shard int32, tried []int32) (int32, bool) {
	if e, ok := r.recorded(shard); ok {
		return r.id(e.Searcher), true
	}
	other := int32(1<<20) + shard*gatherer.MaxTries + int32(len(tried))
	return other, true
}

func (r *replay) spend(_ time.Time, _ int32, p gatherer.Purpose) bool {
	if r.query.Sent() >= len(r.sends) {
		return p == gatherer.Retry
	}
	return r.sends[r.query.Sent()].Purpose == p.String()
}

func (r *replay) id(n modeler.SearcherName) int32 {
	id, ok := r.ids[n]
	if !ok {
		id = int32(len(r.ids))
		r.ids[n] = id
	}
	return id
}

// take feeds one recorded event to the query.
func (r *replay) take(e recorder.Event) {
	switch e.Kind {
	case recorder.AttemptSent:
		if int(e.Attempt) >= len(r.sent) {
			r.do(gatherer.Event{Kind: gatherer.EventTick})
		}
	case recorder.AttemptAnswered:
		r.do(gatherer.Event{Kind: gatherer.EventAnswer, Attempt: e.Attempt, Claim: r.claim(e.Attempt)})
	case recorder.AnswerDropped:
		c := r.claim(e.Attempt)
		c.Attempt = -1
		r.do(gatherer.Event{Kind: gatherer.EventAnswer, Attempt: e.Attempt, Claim: c})
	case recorder.AttemptFailed:
		r.do(gatherer.Event{Kind: gatherer.EventFault, Attempt: e.Attempt, Fault: gatherer.ParseFault(e.Fault)})
	case recorder.RequestQuarantined:
		r.do(gatherer.Event{Kind: gatherer.EventVerdict, Verdict: gatherer.Poisonous})
	}
}

func (r *replay) claim(attempt int32) gatherer.Claim {
	if int(attempt) >= len(r.sent) {
		return gatherer.Claim{}
	}
	s := r.trace.Plan.Plan.Shards[r.sent[attempt].Shard]
	return gatherer.Claim{
		Request: r.trace.Plan.Request, Attempt: attempt, Shard: s.Name, Snapshot: r.trace.Plan.Plan.Snapshot, Documents: s.Documents,
	}
}

func (r *replay) do(e gatherer.Event) {
	for _, a := range r.query.Handle(r.now, &e, nil) {
		if a.Kind == gatherer.ActionSend {
			r.sent = append(r.sent, a)
		} else {
			r.other = append(r.other, a)
		}
	}
}

func (r *replay) outcome() Expectation {
	out := Expectation{Answered: r.query.Answered(), Missing: len(r.query.Missing()), Sent: len(r.sent)}
	replicas := map[int32][]int32{}
	for _, a := range r.sent {
		if !slices.Contains(replicas[a.Shard], a.Searcher) {
			replicas[a.Shard] = append(replicas[a.Shard], a.Searcher)
		}
	}
	for _, x := range replicas {
		if len(x) > 1 {
			out.SecondReplicas++
		}
	}
	for _, a := range r.other {
		switch a.Kind {
		case gatherer.ActionDrop:
			out.Dropped++
		case gatherer.ActionQuarantine:
			out.Quarantined = true
		}
	}
	return out
}
