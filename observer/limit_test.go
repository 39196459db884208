package observer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

func tenth(perSecond float64) limiter.QuotaPart {
	return limiter.QuotaPart{Rate: perSecond / 10, Burst: max(1, perSecond/10)}
}

func TestLimitEndsOnlyByALaterAttempt(t *testing.T) {
	s := NewObserver().At(netip.MustParseAddrPort("10.0.0.1:80"))[0]
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stated := modeler.RateLimit{State: modeler.Stated, PerSecond: 10}
	steps := []struct {
		name      string
		now, sent int // ms
		limit     modeler.RateLimit
		want      LimitChange
	}{
		{"no limit", 10, 0, modeler.RateLimit{}, LimitUnchanged},
		{"the first answer with a limit", 20, 10, stated, LimitBegan},
		{"an answer without a limit to an attempt sent before", 21, 9, modeler.RateLimit{}, LimitUnchanged},
		{"an unreadable limit", 30, 25, modeler.RateLimit{State: modeler.Unreadable}, LimitUnchanged},
		{"a later answer with a limit", 40, 30, stated, LimitUnchanged},
		{"an answer without a limit to an attempt sent after the first but before the last", 50, 39, modeler.RateLimit{}, LimitUnchanged},
		{"an answer without a limit to a later attempt", 60, 41, modeler.RateLimit{}, LimitEnded},
	}
	for _, tt := range steps {
		if got := s.StateLimit(at(tt.now), at(tt.sent), tt.limit, tenth, 0); got != tt.want {
			t.Errorf("%s: change is %d, want %d", tt.name, got, tt.want)
		}
	}
	if s.Wait(at(70), 0) != 0 {
		t.Error("an ended limit still delays requests")
	}
}

func TestChangedLimitAppliesAtOnce(t *testing.T) {
	s := NewObserver().At(netip.MustParseAddrPort("10.0.0.1:80"))[0]
	now := time.Unix(1_800_000_000, 0)
	s.StateLimit(now, now, modeler.RateLimit{State: modeler.Stated, PerSecond: 1000}, tenth, 0)
	now = now.Add(time.Minute)
	s.StateLimit(now, now, modeler.RateLimit{State: modeler.Stated, PerSecond: 10}, tenth, 0)
	if tokens, burst, limited := s.Tokens(now); tokens != 1 || burst != 1 || !limited {
		t.Errorf("%.1f of %.1f requests, limited: %v, want 1 of 1", tokens, burst, limited)
	}
	s.Take(now)
	if w := s.Wait(now, 0); w != time.Second {
		t.Errorf("wait is %v after the only request, want 1 s", w)
	}
}
