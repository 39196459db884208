package gatherer

import "time"

// retry sends another attempt of a shard that has none open, or fails the shard if it may have no other.
func (q *Query) retry(now time.Time, shard int32, out []Action) []Action {
	s := &q.shards[shard]
	if s.openAttempts > 0 {
		return out
	}
	if !q.withinLimits(s) || !q.faultAllowsRetry(s) || (!q.isFreeRetry(s.lastFault) && !q.hooks.Spend(now, shard, Retry)) {
		q.failShard(shard)
		return out
	}
	return q.sendToUntried(now, shard, Retry, out)
}

// withinLimits reports whether the shard may have another attempt by MaxAttempts and MaxRuns.
func (q *Query) withinLimits(s *shardState) bool {
	return int(s.attempts) < MaxAttempts && (q.plan.MaxRuns == 0 || int(s.mayHaveRun) < q.plan.MaxRuns)
}

// faultAllowsRetry reports whether the shard may have another attempt after its last fault.
func (q *Query) faultAllowsRetry(s *shardState) bool {
	return !q.plan.AtMostOnce || s.lastFault.NotRun()
}

// isFreeRetry reports whether a retry after the fault takes nothing from the budget.
func (q *Query) isFreeRetry(f Fault) bool {
	if q.plan.ChargeEveryRetry {
		return f == FaultNotSent
	}
	return f == FaultDraining || f == FaultNotHeld || f == FaultNotSent
}

// sendToUntried sends an attempt to a replica that the shard has not tried. If there is none, the shard fails unless
// one of its attempts is open.
func (q *Query) sendToUntried(now time.Time, shard int32, p Purpose, out []Action) []Action {
	s := &q.shards[shard]
	searcher, ok := q.hooks.Pick(now, shard, s.searchers[:s.attempts])
	if !ok {
		if s.openAttempts == 0 {
			q.failShard(shard)
		}
		return out
	}
	return q.send(now, shard, searcher, p, out)
}
