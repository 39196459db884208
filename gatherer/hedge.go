package gatherer

import "time"

// tick hedges the shards that straggle; one whose hedge is not allowed now is asked again a hedge delay later.
func (q *Query) tick(now time.Time, out []Action) []Action {
	if now.Before(q.nextHedge) {
		return out
	}
	q.nextHedge = q.plan.Deadline
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase != shardOpen || s.hedges == MaxHedges || q.plan.AtMostOnce {
			continue
		}
		if !now.Before(s.hedgeAt) {
			s.hedgeAt = now.Add(q.hooks.HedgeAfter(int32(i)))
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

// hedge sends a straggling shard to another replica, and later once more on a new connection, for all open ones may be silent; before the first answer it goes to the same replica on a new connection, so that a crashing request never reaches a second one.
func (q *Query) hedge(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if !q.mayTry(s) {
		s.hedges = MaxHedges
		return out
	}
	if q.hooks.Hold(q.cleared) {
		return q.probe(now, shard, out)
	}
	searcher, ok := q.hooks.Pick(now, shard, s.tried[:s.tries])
	if !ok && s.hedges > 0 {
		searcher, ok = s.tried[0], true
	}
	purpose := Hedge
	switch {
	case s.hedges > 0 || s.denied > 1:
		purpose = Probe
	case s.denied > 0:
		purpose = LateHedge
	}
	if !ok || !q.hooks.Spend(now, shard, purpose) {
		s.denied = min(s.denied+1, MaxHedges)
		return out
	}
	s.hedges++
	return q.send(now, shard, searcher, purpose, out)
}

// paid reports whether a probe may be sent; it is free unless the plan has everything paid for.
func (q *Query) paid(now time.Time, shard int32) bool {
	return !q.plan.PayForAll || q.hooks.Spend(now, shard, Probe)
}

// probe asks the same replica again on a new connection, for a few shards of a query that nothing has answered yet.
func (q *Query) probe(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if len(q.lost) > 0 || q.probes >= q.plan.Probes || !q.paid(now, shard) {
		return out
	}
	q.probes++
	s.hedges++
	return q.send(now, shard, s.tried[s.tries-1], Probe, out)
}
