package gatherer

import "time"

// phase is the state of one shard.
type phase uint8

const (
	shardOpen     phase = iota // an attempt is under way or about to be sent
	shardHeld                  // an attempt was lost; no other follows until the query is cleared or the verdict is Innocent
	shardAnswered              // an answer was merged
	shardFailed                // left out, or no further attempt is allowed
)

// shardState is the progress of one shard.
type shardState struct {
	phase        phase
	attempts     uint8
	mayHaveRun   uint8 // attempts, except those that provably did not run
	openAttempts uint8
	hedges       uint8 // attempts sent because the shard is slow
	deniedHedges uint8 // hedges that had no searcher or were denied by the Spend hook
	lastFault    Fault
	hasLoss      bool               // an attempt ended by connection loss
	searchers    [MaxAttempts]int32 // the searcher of each attempt
	hedgeAt      time.Time
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

	answeredShards    int
	settledShards     int // answered or failed
	searchedDocuments uint64
	totalDocuments    uint64
	lostSearchers     []int32 // the searcher of each lost attempt
	checkedLosses     int     // losses at the last ActionCheck
	snapshotNotHeld   bool    // a searcher did not hold the snapshot
	attemptsNotSent   int
	attemptsNotRun    int // including those not sent
	failedShards      int
	cleared           bool // an answer, or KnownGood, shows that the request does not crash searchers
	verdictPending    bool
	probes            int // sent before the first answer, without the one after the verdict Innocent
	nextHedge         time.Time
	primaries         int
	done              bool
}

// NewQuery returns a query that has sent nothing; EventStart starts it.
func NewQuery(plan Plan, hooks Hooks) *Query {
	q := &Query{plan: plan, hooks: hooks, cleared: plan.KnownGood, nextHedge: plan.Deadline}
	q.shards = make([]shardState, len(plan.Shards))
	q.attempts = make([]attempt, 0, len(plan.Shards)+len(plan.Shards)/8+MaxAttempts)
	for _, s := range plan.Shards {
		q.totalDocuments += s.Documents
	}
	return q
}

// Handle takes one event, appends the actions that it causes to out, and returns out.
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
		out = q.handleAnswer(now, ev, out)
	case EventFault:
		out = q.handleFault(now, ev.Attempt, ev.Fault, out)
	case EventVerdict:
		out = q.handleVerdict(now, ev.Verdict, out)
	case EventContextDone:
		return q.finish(out)
	}
	return q.advance(now, out)
}

func (q *Query) handleAnswer(now time.Time, ev *Event, out []Action) []Action {
	if !q.isOpen(ev.Attempt) {
		return append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt})
	}
	a := &q.attempts[ev.Attempt]
	if !q.hooks.Matches(q.expectedClaim(ev.Attempt), ev.Claim) {
		out = append(out, Action{Kind: ActionDrop, Attempt: ev.Attempt, Shard: a.shard, Searcher: a.searcher})
		return q.handleFault(now, ev.Attempt, FaultCrossed, out)
	}
	out = append(out, Action{Kind: ActionMerge, Purpose: a.purpose, Attempt: ev.Attempt, Shard: a.shard, Searcher: a.searcher})
	a.open = false
	s := &q.shards[a.shard]
	s.openAttempts--
	s.phase = shardAnswered
	q.settledShards++
	q.answeredShards++
	q.searchedDocuments += ev.Claim.Documents
	out = q.cancelShard(a.shard, out)
	return q.markCleared(now, out)
}

// expectedClaim returns the claim of a correct answer to the attempt.
func (q *Query) expectedClaim(id int32) Claim {
	shard := q.plan.Shards[q.attempts[id].shard]
	return Claim{q.plan.Request, id, shard.Name, q.plan.Snapshot, shard.Documents}
}

// handleFault ends an attempt and retries its shard, unless the shard has another open attempt or must be held.
func (q *Query) handleFault(now time.Time, id int32, f Fault, out []Action) []Action {
	if !q.isOpen(id) {
		return out
	}
	a := &q.attempts[id]
	q.recordFault(a, f)
	s := &q.shards[a.shard]
	if s.phase != shardOpen || s.openAttempts > 0 {
		return out
	}
	if s.hasLoss && q.hooks.Hold(q.cleared) {
		s.phase = shardHeld
		return out
	}
	return q.retry(now, a.shard, out)
}

// recordFault closes an attempt and counts its fault.
func (q *Query) recordFault(a *attempt, f Fault) {
	a.open = false
	s := &q.shards[a.shard]
	s.openAttempts--
	s.lastFault = f
	if f == FaultNotHeld {
		q.snapshotNotHeld = true
	}
	if f == FaultNotSent {
		q.attemptsNotSent++
	}
	if f.NotRun() {
		q.attemptsNotRun++
		s.mayHaveRun--
	}
	if f == FaultLost {
		q.lostSearchers = append(q.lostSearchers, a.searcher)
		s.hasLoss = true
	}
}

// send sends an attempt of the shard to a searcher.
func (q *Query) send(now time.Time, shard, searcher int32, p Purpose, out []Action) []Action {
	s := &q.shards[shard]
	s.searchers[s.attempts] = searcher
	s.attempts++
	s.mayHaveRun++
	s.openAttempts++
	s.hedgeAt = now.Add(q.hooks.HedgeAfter(shard))
	q.nextHedge = earlier(q.nextHedge, s.hedgeAt)
	id := int32(len(q.attempts))
	q.attempts = append(q.attempts, attempt{shard, searcher, p, true})
	if p == Primary {
		q.primaries++
	}
	return append(out, Action{ActionSend, p, id, shard, searcher})
}

func (q *Query) failShard(shard int32) {
	q.shards[shard].phase = shardFailed
	q.settledShards++
	q.failedShards++
}

// advance follows every event: it asks for a check if one is needed, sends what the query needs next, or ends the
// query.
func (q *Query) advance(now time.Time, out []Action) []Action {
	if q.needsCheck() {
		q.verdictPending = true
		q.checkedLosses = len(q.lostSearchers)
		out = append(out, Action{Kind: ActionCheck})
	}
	out = q.askLeftOut(now, out)
	if q.settledShards == len(q.shards) || !now.Before(q.plan.Deadline) || q.coverageSuffices(now) || q.coverageOutOfReach() || q.stuck() {
		return q.finish(out)
	}
	return q.hedgeStragglers(now, out)
}

// coverageSuffices reports whether the patience is over and the least coverage is reached.
func (q *Query) coverageSuffices(now time.Time) bool {
	return !now.Before(q.plan.Patience) && q.Coverage() >= q.plan.LeastCoverage
}

// coverageOutOfReach reports whether a fail-fast query can no longer reach its least coverage. It counts shards, while
// Coverage counts documents.
func (q *Query) coverageOutOfReach() bool {
	n := len(q.shards)
	return q.plan.FailFast && float64(n-q.failedShards)/float64(n) < q.plan.LeastCoverage
}

// finish cancels all open attempts and ends the query.
func (q *Query) finish(out []Action) []Action {
	q.done = true
	for i := range q.attempts {
		out = q.cancel(int32(i), out)
	}
	if q.snapshotNotHeld && q.answeredShards < len(q.shards) {
		out = append(out, Action{Kind: ActionRestart})
	}
	return append(out, Action{Kind: ActionFinish})
}

func (q *Query) cancelShard(shard int32, out []Action) []Action {
	if q.shards[shard].openAttempts == 0 {
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
	q.shards[a.shard].openAttempts--
	return append(out, Action{ActionCancel, a.purpose, id, a.shard, a.searcher})
}

func (q *Query) isOpen(id int32) bool {
	return id >= 0 && int(id) < len(q.attempts) && q.attempts[id].open
}
