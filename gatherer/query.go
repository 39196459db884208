package gatherer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Shard is what a query knows of one shard of its pinned snapshot.
type Shard struct {
	Name      modeler.ShardName
	Documents uint64
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
}

// Seams are the decisions that a query takes from the state it shares with others.
type Seams struct {
	Pick       func(now time.Time, shard int32, tried []int32) (searcher int32, ok bool)
	Spend      func(now time.Time, p Purpose) bool
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
	open    uint8
	hedges  uint8
	denied  bool
	fault   Fault
	tried   [MaxTries]int32
	hedgeAt time.Time
}

type attempt struct {
	shard    int32
	searcher int32
	purpose  Purpose
	open     bool
	started  time.Time
}

// Query is the state machine of one scattered query.
type Query struct {
	plan     Plan
	seams    Seams
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
	cleared      bool
	checking     bool
	probes       int
	nextHedge    time.Time
	primaries    int
	done         bool
}

// NewQuery makes a query that has sent nothing.
func NewQuery(plan Plan, seams Seams) *Query {
	q := &Query{plan: plan, seams: seams, cleared: plan.KnownGood, nextHedge: plan.Deadline}
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

// tick hedges the shards that straggle; one whose hedge is not allowed now is asked again a hedge delay later.
func (q *Query) tick(now time.Time, out []Action) []Action {
	if now.Before(q.nextHedge) {
		return out
	}
	q.nextHedge = q.plan.Deadline
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase != shardOpen || s.hedges == MaxHedges {
			continue
		}
		if !now.Before(s.hedgeAt) {
			s.hedgeAt = now.Add(q.seams.HedgeAfter(int32(i)))
			out = q.hedge(now, int32(i), out)
		}
		if s.hedges < MaxHedges {
			q.nextHedge = earlier(q.nextHedge, s.hedgeAt)
		}
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (q *Query) start(now time.Time, out []Action) []Action {
	for i := range q.shards {
		out = q.sendElsewhere(now, int32(i), Primary, out)
	}
	return out
}

func (q *Query) answer(now time.Time, ev *Event, out []Action) []Action {
	if !q.isOpen(ev.Attempt) {
		return append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt})
	}
	a := &q.attempts[ev.Attempt]
	if !q.seams.Matches(q.want(ev.Attempt), ev.Claim) {
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

// clear lets held shards go on: a request that was answered once does not crash what runs it.
func (q *Query) clear(now time.Time, out []Action) []Action {
	if q.cleared {
		return out
	}
	q.cleared = true
	return q.release(now, out)
}

func (q *Query) release(now time.Time, out []Action) []Action {
	for i := range q.shards {
		if q.shards[i].phase == shardHeld {
			q.shards[i].phase = shardOpen
			out = q.retry(now, int32(i), out)
		}
	}
	return out
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
	if f == FaultLost {
		q.lost = append(q.lost, a.searcher)
	}
	if s.phase != shardOpen || s.open > 0 {
		return out
	}
	if f == FaultLost && q.seams.Hold(q.cleared) {
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
	free := s.fault == FaultDraining || s.fault == FaultNotHeld || s.fault == FaultNotSent
	if int(s.tries) >= MaxTries || (!free && !q.seams.Spend(now, Retry)) {
		q.giveUp(shard)
		return out
	}
	return q.sendElsewhere(now, shard, Retry, out)
}

func (q *Query) giveUp(shard int32) {
	q.shards[shard].phase = shardFailed
	q.settled++
}

func (q *Query) sendElsewhere(now time.Time, shard int32, p Purpose, out []Action) []Action {
	s := &q.shards[shard]
	searcher, ok := q.seams.Pick(now, shard, s.tried[:s.tries])
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
	s.open++
	s.hedgeAt = now.Add(q.seams.HedgeAfter(shard))
	q.nextHedge = earlier(q.nextHedge, s.hedgeAt)
	id := int32(len(q.attempts))
	q.attempts = append(q.attempts, attempt{shard, searcher, p, true, now})
	if p == Primary {
		q.primaries++
	}
	return append(out, Action{ActionSend, p, id, shard, searcher})
}

// hedge sends a straggling shard to another replica, and later once more on a new connection, for all open ones may be silent; before the first answer it goes to the same replica on a new connection, so that a crashing request never reaches a second one.
func (q *Query) hedge(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if int(s.tries) >= MaxTries {
		s.hedges = MaxHedges
		return out
	}
	if q.seams.Hold(q.cleared) {
		return q.probe(now, shard, out)
	}
	searcher, ok := q.seams.Pick(now, shard, s.tried[:s.tries])
	if !ok && s.hedges > 0 {
		searcher, ok = s.tried[0], true
	}
	purpose := Hedge
	switch {
	case s.hedges > 0:
		purpose = Probe
	case s.denied:
		purpose = LateHedge
	}
	if !ok || !q.seams.Spend(now, purpose) {
		s.denied = true
		return out
	}
	s.hedges++
	return q.send(now, shard, searcher, purpose, out)
}

// probe asks the same replica again on a new connection, for a few shards of a query that nothing has answered yet.
func (q *Query) probe(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if len(q.lost) > 0 || q.probes >= CanaryProbes {
		return out
	}
	q.probes++
	s.hedges++
	return q.send(now, shard, s.tried[s.tries-1], Probe, out)
}

// verdict ends a query that crashes searchers. If it is innocent, one held shard tries another replica, whose answer clears the rest; while it is undecided nothing is tried.
func (q *Query) verdict(now time.Time, v Verdict, out []Action) []Action {
	q.checking = false
	if q.cleared || v == Undecided {
		return out
	}
	if v == Poisonous {
		out = append(out, Action{Kind: ActionQuarantine})
		return q.finish(out)
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.phase == shardHeld && int(s.tries) < MaxTries {
			s.phase = shardOpen
			return q.sendElsewhere(now, int32(i), Probe, out)
		}
	}
	return out
}

// settle ends the query, or asks for what it needs next, once the event is handled.
func (q *Query) settle(now time.Time, out []Action) []Action {
	if q.suspicious() {
		q.checking = true
		q.checked = len(q.lost)
		out = append(out, Action{Kind: ActionCheck})
	}
	if q.settled == len(q.shards) || !now.Before(q.plan.Deadline) || q.enough(now) || q.stuck() {
		return q.finish(out)
	}
	return q.tick(now, out)
}

// suspicious reports that at least half of the attempts ended by connection loss and none was answered.
func (q *Query) suspicious() bool {
	n := len(q.lost)
	return !q.cleared && !q.checking && n >= PoisonLosses && n > q.checked && 2*n >= len(q.attempts)
}

func (q *Query) enough(now time.Time) bool {
	return !now.Before(q.plan.Patience) && q.Coverage() >= q.plan.LeastCoverage
}

// stuck reports that nothing is under way that could still clear the held shards.
func (q *Query) stuck() bool {
	if q.checking || len(q.lost) == 0 || q.cleared {
		return false
	}
	for i := range q.attempts {
		if q.attempts[i].open {
			return false
		}
	}
	return true
}

func (q *Query) finish(out []Action) []Action {
	q.done = true
	for i := range q.shards {
		if q.shards[i].open > 0 {
			out = q.cancelShard(int32(i), out)
		}
	}
	if q.notHeld && q.answered < len(q.shards) {
		out = append(out, Action{Kind: ActionRestart})
	}
	return append(out, Action{Kind: ActionFinish})
}

func (q *Query) cancelShard(shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if s.open == 0 {
		return out
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.open && a.shard == shard {
			a.open = false
			s.open--
			out = append(out, Action{ActionCancel, a.purpose, int32(i), shard, a.searcher})
		}
	}
	return out
}

func (q *Query) isOpen(id int32) bool {
	return id >= 0 && int(id) < len(q.attempts) && q.attempts[id].open
}
