package gatherer

import "time"

// start sends to every shard that is not left out. Nothing is sent if there is no time left in which anything could be answered, or if too few shards have a searcher.
func (q *Query) start(now time.Time, out []Action) []Action {
	if !now.Before(q.plan.Deadline) {
		return out
	}
	for i := range q.shards {
		if q.plan.Shards[i].LeftOut || !q.choose(now, int32(i)) {
			q.giveUp(int32(i))
		}
	}
	for q.hopeless() {
		if _, ok := q.takeBack(now); !ok {
			return out
		}
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.phase == shardOpen {
			out = q.send(now, int32(i), s.tried[0], Primary, out)
		}
	}
	return out
}

// choose picks the searcher of a shard's first attempt.
func (q *Query) choose(now time.Time, shard int32) bool {
	searcher, ok := q.hooks.Pick(now, shard, nil)
	q.shards[shard].tried[0] = searcher
	return ok
}

// recall sends to shards that were left out as far as the least coverage is out of reach without them.
func (q *Query) recall(now time.Time, out []Action) []Action {
	for !q.done && now.Before(q.plan.Patience) && q.hopeless() {
		shard, ok := q.takeBack(now)
		if !ok {
			return out
		}
		out = q.send(now, shard, q.shards[shard].tried[0], Primary, out)
	}
	return out
}

// takeBack opens a shard that was left out and never asked, if one has a searcher.
func (q *Query) takeBack(now time.Time) (shard int32, ok bool) {
	for i := range q.shards {
		s := &q.shards[i]
		if !q.plan.Shards[i].LeftOut || s.phase != shardFailed || s.tries > 0 || !q.choose(now, int32(i)) {
			continue
		}
		s.phase = shardOpen
		q.settled--
		q.failed--
		return int32(i), true
	}
	return 0, false
}
