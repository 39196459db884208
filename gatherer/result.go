package gatherer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Coverage returns the share of the snapshot's documents that were searched, or of its shards if it has no documents.
func (q *Query) Coverage() float64 {
	if q.totalDocuments == 0 {
		return float64(q.answeredShards) / float64(max(1, len(q.shards)))
	}
	return float64(q.searchedDocuments) / float64(q.totalDocuments)
}

// NextTick returns the time by which the query must handle an EventTick.
func (q *Query) NextTick(now time.Time) time.Time {
	next := q.plan.Deadline
	if now.Before(q.plan.Patience) && q.plan.Patience.Before(next) {
		next = q.plan.Patience
	}
	return earlier(next, q.nextHedge)
}

// Done reports whether the query has ended.
func (q *Query) Done() bool { return q.done }

// AnsweredShards returns how many shards were searched.
func (q *Query) AnsweredShards() int { return q.answeredShards }

// Documents returns how many documents were searched and how many the snapshot has.
func (q *Query) Documents() (searched, total uint64) { return q.searchedDocuments, q.totalDocuments }

// AttemptCounts returns how many attempts found a connection, and how many attempts were the first of their shard.
func (q *Query) AttemptCounts() (sent, primaries int) {
	return len(q.attempts) - q.attemptsNotSent, q.primaries
}

// MayHaveRun reports whether a searcher may have run any attempt.
func (q *Query) MayHaveRun() bool { return len(q.attempts) > q.attemptsNotRun }

// RequestedAttempts returns how many attempts were requested by ActionSend, including those that found no connection.
func (q *Query) RequestedAttempts() int { return len(q.attempts) }

// LostSearchers returns, for each attempt that ended by connection loss, its searcher.
func (q *Query) LostSearchers() []int32 { return q.lostSearchers }

// MissingShards returns the shards that were not searched.
func (q *Query) MissingShards() []modeler.ShardName {
	var names []modeler.ShardName
	for i := range q.shards {
		if q.shards[i].phase != shardAnswered {
			names = append(names, q.plan.Shards[i].Name)
		}
	}
	return names
}
