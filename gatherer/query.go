package gatherer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Shard is what a query knows of one shard of its pinned snapshot.
type Shard struct {
	Name      modeler.ShardName
	Documents uint64
	LeftOut   bool // never asked, for its service is overloaded
}

// Plan is the fixed part of a query.
type Plan struct {
	Request       modeler.RequestID
	Snapshot      modeler.SnapshotID
	Shards        []Shard
	Deadline      time.Time
	Patience      time.Time
	LeastCoverage float64
	KnownGood     bool
	Probes        int
	MaxRuns       int  // attempts of one shard that may have run; 0 means MaxTries
	AtMostOnce    bool // no attempt follows one that may have run
	WholeOrNone   bool // the query ends once the least coverage is out of reach
	PayForAll     bool // every attempt after the first is paid for, unless the one before was never sent
}

// Hooks are the decisions that a query takes from the state it shares with others.
type Hooks struct {
	Pick       func(now time.Time, shard int32, tried []int32) (searcher int32, ok bool)
	Spend      func(now time.Time, shard int32, p Purpose) bool
	HedgeAfter func(shard int32) time.Duration
	Hold       func(cleared bool) bool
	Matches    func(want, got Claim) bool
}

// HoldUntilCleared keeps a query that has lost a connection from a second replica until one answer clears it.
func HoldUntilCleared(cleared bool) bool { return !cleared }

// MatchesExactly accepts a sub-answer only if it is the one asked for, whole.
func MatchesExactly(want, got Claim) bool { return want == got }

type phase uint8

const (
	shardOpen phase = iota
	shardHeld
	shardAnswered
	shardFailed
)

type shardState struct {
	phase   phase
	tries   uint8
	runs    uint8
	open    uint8
	hedges  uint8
	denied  uint8
	fault   Fault
	lost    bool // an attempt was lost
	tried   [MaxTries]int32
	hedgeAt time.Time
}

type attempt struct {
	shard    int32
	searcher int32
	purpose  Purpose
	open     bool
}

// Query is the state machine of one scattered query.
type Query struct {
	plan     Plan
	hooks    Hooks
	shards   []shardState
	attempts []attempt

	answered     int
	settled      int
	documents    uint64
	documentsAll uint64
	lost         []int32
	checked      int
	notHeld      bool
	notSent      int
	notRun       int
	failed       int
	cleared      bool
	checking     bool
	probes       int
	nextHedge    time.Time
	primaries    int
	done         bool
}

// NewQuery makes a query that has sent nothing.
func NewQuery(plan Plan, hooks Hooks) *Query {
	q := &Query{plan: plan, hooks: hooks, cleared: plan.KnownGood, nextHedge: plan.Deadline}
	q.shards = make([]shardState, len(plan.Shards))
	q.attempts = make([]attempt, 0, len(plan.Shards)+len(plan.Shards)/8+MaxTries)
	for _, s := range plan.Shards {
		q.documentsAll += s.Documents
	}
	return q
}

// Handle takes one event and appends the actions it causes to out.
func (q *Query) Handle(now time.Time, ev *Event, out []Action) []Action {
	if q.done {
		if ev.Kind == EventAnswer {
			out = append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt})
		}
		return out
	}
	switch ev.Kind {
	case EventStart:
		out = q.start(now, out)
	case EventAnswer:
		out = q.answer(now, ev, out)
	case EventFault:
		out = q.fail(now, ev.Attempt, ev.Fault, out)
	case EventVerdict:
		out = q.verdict(now, ev.Verdict, out)
	case EventGone:
		return q.finish(out)
	}
	return q.settle(now, out)
}

func (q *Query) answer(now time.Time, ev *Event, out []Action) []Action {
	if !q.isOpen(ev.Attempt) {
		return append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt})
	}
	a := &q.attempts[ev.Attempt]
	if !q.hooks.Matches(q.want(ev.Attempt), ev.Claim) {
		out = append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt, Shard: a.shard, Searcher: a.searcher})
		return q.fail(now, ev.Attempt, FaultCrossed, out)
	}
	out = append(out, Action{Kind: ActionMerge, Purpose: a.purpose, Attempt: ev.Attempt, Shard: a.shard, Searcher: a.searcher})
	a.open = false
	s := &q.shards[a.shard]
	s.open--
	s.phase = shardAnswered
	q.settled++
	q.answered++
	q.documents += ev.Claim.Documents
	out = q.cancelShard(a.shard, out)
	return q.clear(now, out)
}

func (q *Query) want(id int32) Claim {
	shard := q.plan.Shards[q.attempts[id].shard]
	return Claim{q.plan.Request, id, shard.Name, q.plan.Snapshot, shard.Documents}
}

func (q *Query) fail(now time.Time, id int32, f Fault, out []Action) []Action {
	if !q.isOpen(id) {
		return out
	}
	a := &q.attempts[id]
	a.open = false
	s := &q.shards[a.shard]
	s.open--
	s.fault = f
	if f == FaultNotHeld {
		q.notHeld = true
	}
	if f == FaultNotSent {
		q.notSent++
	}
	if f.NotRun() {
		q.notRun++
		s.runs--
	}
	if f == FaultLost {
		q.lost = append(q.lost, a.searcher)
		s.lost = true
	}
	if s.phase != shardOpen || s.open > 0 {
		return out
	}
	if s.lost && q.hooks.Hold(q.cleared) {
		s.phase = shardHeld
		return out
	}
	return q.retry(now, a.shard, out)
}

func (q *Query) retry(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if s.open > 0 {
		return out
	}
	if !q.mayTry(s) || !q.mayRetry(s) || (!q.isFree(s.fault) && !q.hooks.Spend(now, shard, Retry)) {
		q.giveUp(shard)
		return out
	}
	return q.sendElsewhere(now, shard, Retry, out)
}

// mayTry reports whether another attempt of the shard stays within its bounds.
func (q *Query) mayTry(s *shardState) bool {
	return int(s.tries) < MaxTries && (q.plan.MaxRuns == 0 || int(s.runs) < q.plan.MaxRuns)
}

// mayRetry reports whether what the last attempt came to allows another one.
func (q *Query) mayRetry(s *shardState) bool { return !q.plan.AtMostOnce || s.fault.NotRun() }

// isFree reports whether an attempt after the fault is not paid for.
func (q *Query) isFree(f Fault) bool {
	if q.plan.PayForAll {
		return f == FaultNotSent
	}
	return f == FaultDraining || f == FaultNotHeld || f == FaultNotSent
}

func (q *Query) giveUp(shard int32) {
	q.shards[shard].phase = shardFailed
	q.settled++
	q.failed++
}

// hopeless reports whether the least coverage is out of reach.
func (q *Query) hopeless() bool {
	n := len(q.shards)
	return q.plan.WholeOrNone && float64(n-q.failed)/float64(n) < q.plan.LeastCoverage
}

func (q *Query) sendElsewhere(now time.Time, shard int32, p Purpose, out []Action) []Action {
	s := &q.shards[shard]
	searcher, ok := q.hooks.Pick(now, shard, s.tried[:s.tries])
	if !ok {
		if s.open == 0 {
			q.giveUp(shard)
		}
		return out
	}
	return q.send(now, shard, searcher, p, out)
}

func (q *Query) send(now time.Time, shard, searcher int32, p Purpose, out []Action) []Action {
	s := &q.shards[shard]
	s.tried[s.tries] = searcher
	s.tries++
	s.runs++
	s.open++
	s.hedgeAt = now.Add(q.hooks.HedgeAfter(shard))
	q.nextHedge = earlier(q.nextHedge, s.hedgeAt)
	id := int32(len(q.attempts))
	q.attempts = append(q.attempts, attempt{shard, searcher, p, true})
	if p == Primary {
		q.primaries++
	}
	return append(out, Action{ActionSend, p, id, shard, searcher})
}

// settle ends the query, or asks for what it needs next, once the event is handled.
func (q *Query) settle(now time.Time, out []Action) []Action {
	if q.suspicious() {
		q.checking = true
		q.checked = len(q.lost)
		out = append(out, Action{Kind: ActionCheck})
	}
	out = q.recall(now, out)
	if q.settled == len(q.shards) || !now.Before(q.plan.Deadline) || q.enough(now) || q.hopeless() || q.stuck() {
		return q.finish(out)
	}
	return q.tick(now, out)
}

func (q *Query) enough(now time.Time) bool {
	return !now.Before(q.plan.Patience) && q.Coverage() >= q.plan.LeastCoverage
}

func (q *Query) finish(out []Action) []Action {
	q.done = true
	for i := range q.attempts {
		out = q.cancel(int32(i), out)
	}
	if q.notHeld && q.answered < len(q.shards) {
		out = append(out, Action{Kind: ActionRestart})
	}
	return append(out, Action{Kind: ActionFinish})
}

func (q *Query) cancelShard(shard int32, out []Action) []Action {
	if q.shards[shard].open == 0 {
		return out
	}
	for i := range q.attempts {
		if q.attempts[i].shard == shard {
			out = q.cancel(int32(i), out)
		}
	}
	return out
}

func (q *Query) cancel(id int32, out []Action) []Action {
	a := &q.attempts[id]
	if !a.open {
		return out
	}
	a.open = false
	q.shards[a.shard].open--
	return append(out, Action{ActionCancel, a.purpose, id, a.shard, a.searcher})
}

func (q *Query) isOpen(id int32) bool {
	return id >= 0 && int(id) < len(q.attempts) && q.attempts[id].open
}
