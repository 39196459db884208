package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// Drive feeds a query with what its channel brings, with ticks and with the end of the context, and does its actions, until it is done.
func Drive[E any](ctx context.Context, q *gatherer.Query, now func() time.Time, ends <-chan E,
	event func(*E) *gatherer.Event, act func(ctx context.Context, a gatherer.Action, e *E),
) {
	var buf []gatherer.Action
	var none E
	step := func(ev *gatherer.Event, e *E) {
		buf = q.Handle(now(), ev, buf[:0])
		for _, a := range buf {
			act(ctx, a, e)
		}
	}
	step(&gatherer.Event{Kind: gatherer.EventStart}, &none)
	timer := time.NewTimer(untilWake(q, now()))
	defer timer.Stop()
	for !q.Done() {
		select {
		case e := <-ends:
			step(event(&e), &e)
		case <-timer.C:
			step(&gatherer.Event{Kind: gatherer.EventTick}, &none)
		case <-ctx.Done():
			step(&gatherer.Event{Kind: gatherer.EventContextDone}, &none)
		}
		timer.Reset(untilWake(q, now()))
	}
}

func untilWake(q *gatherer.Query, now time.Time) time.Duration { return q.NextTick(now).Sub(now) }
