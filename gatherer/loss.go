package gatherer

import "time"

// markCleared releases the held shards after the first answer: a request that was answered once does not crash the
// searchers that run it.
func (q *Query) markCleared(now time.Time, out []Action) []Action {
	if q.cleared {
		return out
	}
	q.cleared = true
	return q.releaseHeld(now, out)
}

// releaseHeld retries all held shards.
func (q *Query) releaseHeld(now time.Time, out []Action) []Action {
	for i := range q.shards {
		if q.shards[i].phase == shardHeld {
			q.shards[i].phase = shardOpen
			out = q.retry(now, int32(i), out)
		}
	}
	return out
}

// handleVerdict ends the query if its request crashes searchers. If the request is innocent, one held shard tries
// another replica, whose answer releases the other held shards. After the verdict Undecided nothing is sent.
func (q *Query) handleVerdict(now time.Time, v Verdict, out []Action) []Action {
	q.verdictPending = false
	if q.cleared || v == Undecided {
		return out
	}
	if v == Poisonous {
		out = append(out, Action{Kind: ActionQuarantine})
		return q.finish(out)
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.phase == shardHeld && q.withinLimits(s) && q.payForProbe(now, int32(i)) {
			s.phase = shardOpen
			return q.sendToUntried(now, int32(i), Probe, out)
		}
	}
	return out
}

// needsCheck reports whether the losses must be checked: connection loss ended at least PoisonLosses attempts and at
// least half of all, one of them since the last check, the query is not cleared, and no check is pending.
func (q *Query) needsCheck() bool {
	n := len(q.lostSearchers)
	return !q.cleared && !q.verdictPending && n >= PoisonLosses && n > q.checkedLosses && 2*n >= len(q.attempts)
}

// stuck reports whether connections were lost and no open attempt or check is left that could release the held shards.
func (q *Query) stuck() bool {
	if q.verdictPending || len(q.lostSearchers) == 0 || q.cleared {
		return false
	}
	for i := range q.attempts {
		if q.attempts[i].open {
			return false
		}
	}
	return true
}
