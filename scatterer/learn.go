package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// learn takes what an attempt showed into what is known of its searcher and service.
func (r *run) learn(ctx context.Context, a gatherer.Action, e *end, took time.Duration) {
	searcher := &r.req.View.Searchers[a.Searcher]
	b := searcher.Health
	now := r.s.now()
	if e.reply.Held != nil {
		b.Holds(r.req.Index.Name, e.reply.Held)
	}
	if e.reply.Draining && b.Drain(now) {
		r.s.draining(searcher)
	}
	switch {
	case e.wrong:
		b.Failed(now, false)
	case e.event.Kind == gatherer.EventAnswer:
		b.Answered(now, took)
		if r.req.Forward == nil || a.Purpose == gatherer.Primary {
			r.req.View.Services[searcher.Service].Health.Record(took)
		}
		if !e.reply.Draining {
			b.Returned(now, now.Add(-took))
		}
	case ctx.Err() != nil && e.event.Fault == gatherer.FaultNotSent:
		if !now.Before(r.req.Deadline) {
			r.s.starved.Add(1)
		}
		b.Ended()
	case ctx.Err() != nil:
		b.Cancelled(now, took)
	case e.event.Fault == gatherer.FaultShed && !e.reply.Late:
		b.Shed(now)
	case e.event.Fault == gatherer.FaultMisdirected:
		b.Failed(now, true)
	case blamed(e):
		b.Failed(now, e.event.Fault == gatherer.FaultNotSent)
	default:
		b.Ended()
	}
}

// blamed reports whether a fault is the searcher's own: it could not be reached, went away, or answered what is no answer. One that resets new connections serves those that it has.
func blamed(e *end) bool {
	switch e.event.Fault {
	case gatherer.FaultLost, gatherer.FaultSilent, gatherer.FaultCorrupt, gatherer.FaultRejected:
		return true
	case gatherer.FaultNotSent:
		return !e.reply.Late && !e.reply.AtLimit
	}
	return false
}
