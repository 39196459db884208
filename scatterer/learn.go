package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// updateHealth records the result of an attempt in the health of its searcher and in the latency of its service.
func (r *run) updateHealth(ctx context.Context, a gatherer.Action, e *attemptResult, took time.Duration) {
	searcher := &r.req.View.Searchers[a.Searcher]
	health := searcher.Health
	now := r.s.now()
	if e.reply.Held != nil {
		health.Holds(r.req.Index.Name, e.reply.Held)
	}
	if e.reply.Draining && health.Drain(now) {
		r.s.onDraining(searcher)
	}
	switch {
	case e.mismatch:
		health.Failed(now, false)
	case e.event.Kind == gatherer.EventAnswer:
		health.Answered(now, took)
		if r.req.Forward == nil || a.Purpose == gatherer.Primary {
			r.req.View.Services[searcher.Service].Health.Record(took)
		}
		if !e.reply.Draining {
			health.Returned(now, now.Add(-took))
		}
	case ctx.Err() != nil && e.event.Fault == gatherer.FaultNotSent:
		if !now.Before(r.req.Deadline) {
			r.s.starvedAttempts.Add(1)
		}
		health.Ended()
	case ctx.Err() != nil:
		health.Cancelled(now, took)
	case e.event.Fault == gatherer.FaultShed && !e.reply.Late:
		health.Shed(now)
	case e.event.Fault == gatherer.FaultMisdirected:
		health.Failed(now, true)
	case isSearcherFault(e):
		health.Failed(now, e.event.Fault == gatherer.FaultNotSent)
	default:
		health.Ended()
	}
}

// isSearcherFault reports whether the searcher is to blame for a fault: it could not be reached, closed the
// connection, or answered with an error or with something that cannot be read. A searcher at its connection limit is
// not to blame, since it still serves the connections that it has.
func isSearcherFault(e *attemptResult) bool {
	switch e.event.Fault {
	case gatherer.FaultLost, gatherer.FaultSilent, gatherer.FaultCorrupt, gatherer.FaultRejected:
		return true
	case gatherer.FaultNotSent:
		return !e.reply.Late && !e.reply.AtLimit
	}
	return false
}
