package faker

import (
	"context"
	"math"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// enter takes a slot, or refuses when the queue is full or the deadline passes.
func (s *Searcher) enter(ctx context.Context, budget time.Duration) bool {
	s.mu.Lock()
	if s.queued >= QueuePerSlot*cap(s.slots) {
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

func (s *Searcher) leaveSlot() { <-s.slots }

// work takes a service time that spreads log-normally round its median.
func (s *Searcher) work(ctx context.Context, c Conduct) {
	s.mu.Lock()
	spread := math.Exp(serviceSpread * s.random.NormFloat64())
	s.mu.Unlock()
	spawner.Sleep(ctx, time.Duration(float64(c.Service)*spread)+c.Extra)
}
