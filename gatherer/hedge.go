package gatherer

import "time"

// hedgeStragglers hedges each shard whose hedge delay is over. A shard whose hedge is denied now is considered again
// one hedge delay later.
func (q *Query) hedgeStragglers(now time.Time, out []Action) []Action {
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

// hedge sends another attempt for a slow shard. While the Hold hook says so, it only probes the same replica on a new
// connection, so that a request that crashes searchers never reaches a second replica. Otherwise the first hedge goes to
// an untried replica. Each later one is a probe on a new connection, because all open connections may be silent; it goes
// to an untried replica, or to the first replica if all were tried and it may still be sent requests. A denied hedge is
// asked for again as LateHedge and then as Probe, because the Spend hook may allow these where it denied Hedge.
func (q *Query) hedge(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if !q.withinLimits(s) {
		s.hedges = MaxHedges
		return out
	}
	if q.hooks.Hold(q.cleared) {
		return q.probe(now, shard, out)
	}
	searcher, ok := q.hooks.Pick(now, shard, s.searchers[:s.attempts])
	if !ok && s.hedges > 0 {
		searcher, ok = s.searchers[0], q.maySend(now, s.searchers[0])
	}
	purpose := Hedge
	switch {
	case s.hedges > 0 || s.deniedHedges > 1:
		purpose = Probe
	case s.deniedHedges > 0:
		purpose = LateHedge
	}
	if !ok || !q.hooks.Spend(now, shard, purpose) {
		s.deniedHedges = min(s.deniedHedges+1, MaxHedges)
		return out
	}
	s.hedges++
	return q.send(now, shard, searcher, purpose, out)
}

// payForProbe reports whether a probe may be sent. A probe is free unless the plan says ChargeEveryRetry.
func (q *Query) payForProbe(now time.Time, shard int32) bool {
	return !q.plan.ChargeEveryRetry || q.hooks.Spend(now, shard, Probe)
}

// probe sends the shard once more to the same replica on a new connection. Before its first answer a query does so
// for at most plan.Probes shards, and only while it has lost no connection.
func (q *Query) probe(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	searcher := s.searchers[s.attempts-1]
	if len(q.lostSearchers) > 0 || q.probes >= q.plan.Probes || !q.maySend(now, searcher) || !q.payForProbe(now, shard) {
		return out
	}
	q.probes++
	s.hedges++
	return q.send(now, shard, searcher, Probe, out)
}

// maySend reports whether a searcher that was tried before may be sent another attempt.
func (q *Query) maySend(now time.Time, searcher int32) bool {
	return q.hooks.MaySend == nil || q.hooks.MaySend(now, searcher)
}
