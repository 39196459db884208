package gatherer

import "time"

// start sends a primary attempt to every shard that is not left out, unless the deadline has passed. A fail-fast query
// also asks as many left-out shards as its least coverage needs, and sends nothing if too few shards have a searcher to
// reach that coverage.
func (q *Query) start(now time.Time, out []Action) []Action {
	if !now.Before(q.plan.Deadline) {
		return out
	}
	for i := range q.shards {
		if q.plan.Shards[i].LeftOut || !q.pickPrimary(now, int32(i)) {
			q.failShard(int32(i))
		}
	}
	for q.coverageOutOfReach() {
		if _, ok := q.reopenLeftOut(now); !ok {
			return out
		}
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.phase == shardOpen {
			out = q.send(now, int32(i), s.searchers[0], Primary, out)
		}
	}
	return out
}

// pickPrimary picks the searcher of a shard's primary attempt and reports whether there is one.
func (q *Query) pickPrimary(now time.Time, shard int32) bool {
	searcher, ok := q.hooks.Pick(now, shard, nil)
	q.shards[shard].searchers[0] = searcher
	return ok
}

// askLeftOut sends primary attempts to left-out shards, one by one, while the least coverage of a fail-fast query is out
// of reach without them. From the plan's Patience on it sends none.
func (q *Query) askLeftOut(now time.Time, out []Action) []Action {
	for !q.done && now.Before(q.plan.Patience) && q.coverageOutOfReach() {
		shard, ok := q.reopenLeftOut(now)
		if !ok {
			return out
		}
		out = q.send(now, shard, q.shards[shard].searchers[0], Primary, out)
	}
	return out
}

// reopenLeftOut opens the first shard that was left out, was never sent an attempt and has a searcher.
func (q *Query) reopenLeftOut(now time.Time) (shard int32, ok bool) {
	for i := range q.shards {
		s := &q.shards[i]
		if !q.plan.Shards[i].LeftOut || s.phase != shardFailed || s.attempts > 0 || !q.pickPrimary(now, int32(i)) {
			continue
		}
		s.phase = shardOpen
		q.settledShards--
		q.failedShards--
		return int32(i), true
	}
	return 0, false
}
