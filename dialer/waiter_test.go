package dialer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// startWaiting makes a call that takes the only connection, and another one that waits for it and is allowed while the
// function says so. It returns the reply of the second call.
func startWaiting(t *testing.T, d *Dialer, s *testSearcher, allowed func() bool) <-chan Reply {
	t.Helper()
	first, second := call(s), call(s)
	second.Allowed = allowed
	go d.Do(t.Context(), first)
	waitFor(t, "the first call is sent", func() bool { return s.requests.Load() == 1 })
	replies := make(chan Reply, 1)
	go func() { replies <- d.Do(context.WithoutCancel(t.Context()), second) }()
	waitFor(t, "the second call waits", func() bool { _, n := d.ConnectionCounts(); return n == 1 })
	return replies
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 5 s: " + what)
		}
	}
}

// Guards against requests that spend their time in the queue of a searcher that will not be sent any more: they are turned
// back, as not sent, while others keep their place.
func TestWaitingCallsAreTurnedBack(t *testing.T) {
	tests := []struct {
		name     string
		change   func(d *Dialer, allowed *atomic.Bool)
		turnBack bool
	}{
		{"still allowed", func(d *Dialer, _ *atomic.Bool) { d.TurnBackWaiters() }, false},
		{"no longer allowed", func(d *Dialer, allowed *atomic.Bool) { allowed.Store(false); d.TurnBackWaiters() }, true},
		{"connections dropped", func(d *Dialer, _ *atomic.Bool) { d.Trim(nil) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startSearcher(t, func(c net.Conn, n int64) bool { return n == 1 || answers(c, n) })
			d := newTestDialer(t, 1)
			var allowed atomic.Bool
			allowed.Store(true)
			replies := startWaiting(t, d, s, allowed.Load)
			tt.change(d, &allowed)
			select {
			case r := <-replies:
				if !tt.turnBack || r.Fault != gatherer.FaultNotSent || !r.Withheld {
					t.Errorf("the waiting call ended: fault %s, withheld %v, error %v", r.Fault, r.Withheld, r.Err)
				}
			case <-time.After(100 * time.Millisecond):
				if tt.turnBack {
					t.Error("the call still waits")
				}
			}
		})
	}
}

// Guards against a call that gets a connection after the searcher has begun to leave: it is asked again before it is sent.
func TestCallThatIsNoLongerAllowedIsNotSent(t *testing.T) {
	release := make(chan struct{})
	s := startSearcher(t, func(c net.Conn, n int64) bool {
		if n == 1 {
			<-release
		}
		return answers(c, n)
	})
	d := newTestDialer(t, 1)
	var allowed atomic.Bool
	allowed.Store(true)
	replies := startWaiting(t, d, s, allowed.Load)
	allowed.Store(false)
	close(release)
	if r := <-replies; r.Fault != gatherer.FaultNotSent || !r.Withheld {
		t.Errorf("fault %s, withheld %v; want not-sent and withheld", r.Fault, r.Withheld)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("the searcher got %d requests, want only the first", n)
	}
}
