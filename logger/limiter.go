package logger

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limits of the log in lines a second. Warnings and errors have their own limit, so that they are kept when ordinary
// lines are dropped.
const (
	OrdinaryPerSecond = 100
	FailuresPerSecond = 200
)

// limitedHandler drops the lines beyond the limits, and logs how many it dropped.
type limitedHandler struct {
	slog.Handler
	rates *rateCounters
}

// rateCounters counts the lines of the current second.
type rateCounters struct {
	mu            sync.Mutex
	now           func() time.Time
	currentSecond int64
	written       [2]int // ordinary lines; warnings and errors
	dropped       int
}

// Handle writes a line unless the limit for its level is reached.
func (l limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	ok, dropped := l.rates.count(r.Level)
	if dropped > 0 {
		notice := slog.NewRecord(r.Time, slog.LevelWarn, "log: lines dropped", 0)
		notice.Add("count", dropped)
		_ = l.Handler.Handle(ctx, notice)
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes. The lines of both handlers count towards the same limits.
func (l limitedHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return limitedHandler{l.Handler.WithAttrs(a), l.rates}
}

// WithGroup returns a handler that adds the group. The lines of both handlers count towards the same limits.
func (l limitedHandler) WithGroup(n string) slog.Handler {
	return limitedHandler{l.Handler.WithGroup(n), l.rates}
}

// count counts a line and returns whether it may be written. The first call in a second also returns how many lines
// were dropped in the last second that had lines.
func (c *rateCounters) count(level slog.Level) (ok bool, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := c.now().Unix(); second != c.currentSecond {
		dropped = c.dropped
		c.currentSecond, c.written, c.dropped = second, [2]int{}, 0
	}
	kind, limit := 0, OrdinaryPerSecond
	if level > slog.LevelInfo {
		kind, limit = 1, FailuresPerSecond
	}
	if c.written[kind] >= limit {
		c.dropped++
		return false, dropped
	}
	c.written[kind]++
	return true, dropped
}
