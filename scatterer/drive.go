package scatterer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// Drive runs a query until it is done: it feeds it the results from the channel, ticks and the end of the context, and
// passes its actions to perform. toEvent turns a result into the event that it stands for.
func Drive[E any](ctx context.Context, q *gatherer.Query, now func() time.Time, results <-chan E,
	toEvent func(*E) *gatherer.Event, perform func(ctx context.Context, a gatherer.Action, res *E),
) {
	var actions []gatherer.Action
	var noResult E
	step := func(ev *gatherer.Event, res *E) {
		actions = q.Handle(now(), ev, actions[:0])
		for _, a := range actions {
			perform(ctx, a, res)
		}
	}
	step(&gatherer.Event{Kind: gatherer.EventStart}, &noResult)
	timer := time.NewTimer(untilNextTick(q, now()))
	defer timer.Stop()
	for !q.Done() {
		select {
		case res := <-results:
			step(toEvent(&res), &res)
		case <-timer.C:
			step(&gatherer.Event{Kind: gatherer.EventTick}, &noResult)
		case <-ctx.Done():
			step(&gatherer.Event{Kind: gatherer.EventContextDone}, &noResult)
		}
		timer.Reset(untilNextTick(q, now()))
	}
}

func untilNextTick(q *gatherer.Query, now time.Time) time.Duration { return q.NextTick(now).Sub(now) }
