package server

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/planner"
)

// Stop is the planned stop of a server of routes.
type Stop struct {
	mu    sync.Mutex
	at    time.Time // when open requests are cut off; zero until Begin
	ended context.Context
	end   context.CancelFunc
}

// NewStop returns a stop that has not begun.
func NewStop() *Stop {
	s := &Stop{}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// Begin says that open requests are cut off at the given time. The contexts that Limit has returned end AnswerMargin
// before it, so that all requests are answered.
func (s *Stop) Begin(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
	time.AfterFunc(time.Until(at.Add(-AnswerMargin)), s.end)
}

// Limit returns a context that also ends when the requests under way must be answered.
func (s *Stop) Limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ended, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Admits reports whether a request on the route that begins now is likely to be answered before the stop.
func (s *Stop) Admits(now time.Time, r *planner.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at.IsZero() || neededTime(r) <= s.at.Sub(now)-AnswerMargin
}

// neededTime returns how much time a request on the route needs to be answered with little doubt. A request that must
// not run twice needs more, because its caller can't repeat it once it was sent.
func neededTime(r *planner.Route) time.Duration {
	if r.Objective.Duration <= 0 {
		return r.Timeout.Duration
	}
	factor := time.Duration(NeededObjectives)
	if !r.Idempotent {
		factor = NeededObjectivesOnce
	}
	return min(factor*r.Objective.Duration, r.Timeout.Duration)
}
