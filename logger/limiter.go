package logger

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Bounds of the log in lines a second; failures are kept when ordinary lines are dropped.
const (
	OrdinaryPerSecond = 100
	FailuresPerSecond = 200
)

// limited drops the lines beyond the rates and says how many.
type limited struct {
	slog.Handler
	state *rates
}

type rates struct {
	mu      sync.Mutex
	now     func() time.Time
	second  int64
	lines   [2]int
	dropped int
}

// Handle writes a line unless its rate is used up.
func (l limited) Handle(ctx context.Context, r slog.Record) error {
	ok, dropped := l.state.take(r.Level)
	if dropped > 0 {
		lost := slog.NewRecord(r.Time, slog.LevelWarn, "log: lines dropped", 0)
		lost.Add("count", dropped)
		_ = l.Handler.Handle(ctx, lost)
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with the attributes under the same rates.
func (l limited) WithAttrs(a []slog.Attr) slog.Handler {
	return limited{l.Handler.WithAttrs(a), l.state}
}

// WithGroup returns a handler with the group under the same rates.
func (l limited) WithGroup(n string) slog.Handler { return limited{l.Handler.WithGroup(n), l.state} }

// take counts a line, and returns whether it may be written and how many were dropped in an earlier second.
func (s *rates) take(level slog.Level) (ok bool, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.now().Unix(); n != s.second {
		dropped = s.dropped
		s.second, s.lines, s.dropped = n, [2]int{}, 0
	}
	kind, most := 0, OrdinaryPerSecond
	if level > slog.LevelInfo {
		kind, most = 1, FailuresPerSecond
	}
	if s.lines[kind] >= most {
		s.dropped++
		return false, dropped
	}
	s.lines[kind]++
	return true, dropped
}
