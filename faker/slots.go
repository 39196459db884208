package faker

import (
	"context"
	"math"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// acquireSlot waits for a slot and reports whether it got one. It fails if the queue is full, the budget runs out or
// the context ends.
func (s *Searcher) acquireSlot(ctx context.Context, budget time.Duration) bool {
	s.mu.Lock()
	if s.queued >= QueueLengthPerSlot*cap(s.slots) {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) releaseSlot() { <-s.slots }

// sleepServiceTime sleeps for a log-normally distributed service time with the median b.ServiceTime, plus b.ExtraLatency.
func (s *Searcher) sleepServiceTime(ctx context.Context, b Behaviour) {
	s.mu.Lock()
	factor := math.Exp(serviceTimeSigma * s.random.NormFloat64())
	s.mu.Unlock()
	spawner.Sleep(ctx, time.Duration(float64(b.ServiceTime)*factor)+b.ExtraLatency)
}
