package gatherer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Coverage returns the share of the snapshot's documents that were searched.
func (q *Query) Coverage() float64 {
	if q.documentsAll == 0 {
		return float64(q.answered) / float64(max(1, len(q.shards)))
	}
	return float64(q.documents) / float64(q.documentsAll)
}

// Wake returns the next time at which the query must handle a tick.
func (q *Query) Wake(now time.Time) time.Time {
	next := q.plan.Deadline
	if now.Before(q.plan.Patience) && q.plan.Patience.Before(next) {
		next = q.plan.Patience
	}
	return earlier(next, q.nextHedge)
}

// Done reports whether the query has ended.
func (q *Query) Done() bool { return q.done }

// Answered returns how many shards were searched.
func (q *Query) Answered() int { return q.answered }

// Documents returns how many documents were searched and how many the snapshot has.
func (q *Query) Documents() (searched, total uint64) { return q.documents, q.documentsAll }

// Attempts returns how many attempts found a connection, and how many were the first of their shard.
func (q *Query) Attempts() (sent, primaries int) { return len(q.attempts) - q.notSent, q.primaries }

// MayHaveRun reports whether any attempt may have run on a searcher.
func (q *Query) MayHaveRun() bool { return len(q.attempts) > q.notRun }

// Sent returns how many attempts were asked for.
func (q *Query) Sent() int { return len(q.attempts) }

// Lost returns the searchers on which an attempt ended by connection loss.
func (q *Query) Lost() []int32 { return q.lost }

// Missing returns the shards that were not searched.
func (q *Query) Missing() []modeler.ShardName {
	var names []modeler.ShardName
	for i := range q.shards {
		if q.shards[i].phase != shardAnswered {
			names = append(names, q.plan.Shards[i].Name)
		}
	}
	return names
}
