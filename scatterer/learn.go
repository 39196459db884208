package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// updateHealth records the result of an attempt in the health of its searcher and in the latency of its service.
func (r *run) updateHealth(ctx context.Context, a gatherer.Action, res *attemptResult, took time.Duration) {
	searcher := &r.req.View.Searchers[a.Searcher]
	health := searcher.Health
	now := r.s.now()
	if res.reply.Held != nil {
		health.SetSnapshots(r.req.Index.Name, res.reply.Held)
	}
	r.recordSignals(now, searcher, res)
	switch {
	case res.mismatch:
		health.Failed(now, false) // false: the searcher was reached
	case res.event.Kind == gatherer.EventAnswer:
		health.Answered(now, took)
		r.compareServiceTime(now, searcher, took)
		if r.req.Forward == nil || a.Purpose == gatherer.Primary {
			r.req.View.Services[searcher.Service].Health.Record(took)
		}
	case ctx.Err() != nil && res.event.Fault == gatherer.FaultNotSent:
		if !now.Before(r.req.Deadline) {
			r.s.starvedAttempts.Add(1)
		}
		health.Ended()
	case ctx.Err() != nil:
		health.Cancelled(now, took)
	case res.event.Fault == gatherer.FaultShed && !res.reply.Late:
		health.Shed(now)
	case res.event.Fault == gatherer.FaultMisdirected:
		health.Failed(now, true) // true: the searcher cannot be reached at this address
	case isSearcherFault(res):
		health.Failed(now, res.event.Fault == gatherer.FaultNotSent)
	default:
		health.Ended()
	}
}

// recordSignals records that a searcher said in an answer that it drains or leaves, or that it wants no requests for some time.
func (r *run) recordSignals(now time.Time, s *planner.Searcher, res *attemptResult) {
	if res.reply.Draining && s.Health.MarkDraining(now) {
		r.s.onDraining(s)
	}
	if !isOwnAnswer(res.event.Fault) {
		return
	}
	if res.reply.Leaving && s.Health.MarkLeaving(now) {
		r.s.onDraining(s)
	}
	if d := min(res.reply.RetryAfter, r.s.maxBackoff); d > 0 && s.Health.BackOff(now, d) {
		r.s.onBackoff(s, d)
	}
}

// isOwnAnswer reports whether an attempt that ended with the fault brought an answer of its searcher to this request.
func isOwnAnswer(f gatherer.Fault) bool {
	return f == gatherer.FaultNone || f == gatherer.FaultShed || f == gatherer.FaultRejected
}

// updateLimit records the limit that a searcher states in its answer to an attempt that was sent at the given time.
func (r *run) updateLimit(s *planner.Searcher, res *attemptResult, sent time.Time) {
	if res.event.Fault == gatherer.FaultNotSent {
		s.Health.GiveBack()
	}
	if !isOwnAnswer(res.event.Fault) {
		return
	}
	divide := func(perSecond float64) limiter.QuotaPart { return r.s.divide(s, perSecond) }
	fraction := float64(r.s.random(fractionSteps)) / fractionSteps
	if change := s.Health.StateLimit(r.s.now(), sent, res.reply.Limit, divide, fraction); change != observer.LimitUnchanged {
		r.s.onLimit(s, res.reply.Limit, change)
	}
}

// compareServiceTime compares the time that one shard took with that of the others, and announces its searcher if it is
// slow.
func (r *run) compareServiceTime(now time.Time, s *planner.Searcher, took time.Duration) {
	if r.req.Forward == nil || len(r.req.Snapshot.Shards) < MinCompared {
		return
	}
	s.Health.CompareServiceTime(now, now.Add(-took), took-s.RoundTrip, time.Duration(r.halfAnsweredAfter.Load()))
	if until, slow := s.Health.TakeSlow(now); slow {
		r.s.onSlow(s, until)
	}
}

// noteHalfAnswered sets halfAnsweredAfter once half of the shards have answered.
func (r *run) noteHalfAnswered(now time.Time) {
	if r.halfAnsweredAfter.Load() == 0 && 2*r.query.AnsweredShards() >= len(r.plan.Shards) {
		r.halfAnsweredAfter.Store(int64(now.Sub(r.startedAt)))
	}
}

// isSearcherFault reports whether the searcher is to blame for a fault: it could not be reached, closed the connection,
// stayed silent, or answered with an error or with something that cannot be read. It is not to blame if the deadline
// passed before the attempt was sent, if the attempt was withheld, or if the searcher is at its connection limit, since it
// still serves its open connections.
func isSearcherFault(res *attemptResult) bool {
	switch res.event.Fault {
	case gatherer.FaultLost, gatherer.FaultSilent, gatherer.FaultCorrupt, gatherer.FaultRejected:
		return true
	case gatherer.FaultNotSent:
		return !res.reply.Late && !res.reply.AtLimit && !res.reply.Withheld
	}
	return false
}
