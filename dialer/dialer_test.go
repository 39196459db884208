package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestDialer(t *testing.T, budget int) *Dialer {
	t.Helper()
	d := NewDialer(netip.MustParseAddr("127.0.0.1"), WithBudget(func(netip.AddrPort) int { return budget }))
	t.Cleanup(d.Close)
	return d
}

func TestWarmOpensAnIdleConnection(t *testing.T) {
	s := startSearcher(t, answers)
	d := newTestDialer(t, 2)
	if !d.NeedsWarming(s.addr) {
		t.Error("NeedsWarming is false although no connection is open")
	}
	d.Warm(t.Context(), s.addr)
	if !d.HasIdle(s.addr, "r") || d.NeedsWarming(s.addr) {
		t.Error("no idle connection after Warm")
	}
	for end := time.Now().Add(5 * time.Second); !d.NeedsWarming(s.addr); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection that the searcher closed still counts as idle after 5s")
		}
		s.closeAll()
	}
	if open, _ := d.ConnectionCounts(); open != 0 {
		t.Errorf("%d connections open after the searcher closed the only one, want 0", open)
	}
}

func TestDoNeverSendsTwice(t *testing.T) {
	s := startSearcher(t, func(c net.Conn, n int64) bool { return n == 1 && answers(c, n) })
	d := newTestDialer(t, 2)
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone {
		t.Fatalf("first call: fault %s, want none", r.Fault)
	}
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultLost {
		t.Errorf("connection closed after the whole request: fault %s, want lost", r.Fault)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("two calls sent %d requests, want 2", n)
	}
}

func TestDoSkipsStaleConnections(t *testing.T) {
	s := startSearcher(t, answers)
	d := newTestDialer(t, 2)
	d.Do(t.Context(), call(s))
	s.closeAll()
	for p := d.pool(s.addr); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		stale := p.idle[0].stale()
		p.mu.Unlock()
		if stale {
			break
		}
	}
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone {
		t.Errorf("call after the searcher closed the idle connection: fault %s, want none", r.Fault)
	}
}

func TestDoRetiresSilentConnections(t *testing.T) {
	retired := make(chan string, 1)
	s := startSearcher(t, func(c net.Conn, n int64) bool { return n > 1 && answers(c, n) || n == 1 })
	d := newTestDialer(t, 1)
	d.onRetired = func(_ netip.AddrPort, detail string) { retired <- detail }
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := d.Do(ctx, call(s)); r.Fault != gatherer.FaultSilent {
		t.Errorf("call on a silent connection: fault %s, want silent", r.Fault)
	}
	<-retired
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone {
		t.Errorf("next call, on a new connection: fault %s, want none", r.Fault)
	}
}

func TestDoWaitsForAnAnswerDuringLinger(t *testing.T) {
	for _, linger := range []time.Duration{10 * time.Second, 0} {
		release := make(chan struct{})
		s := startSearcher(t, func(c net.Conn, n int64) bool {
			if n == 1 {
				<-release
			}
			return answers(c, n)
		})
		d := newTestDialer(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan Reply, 1)
		go func() {
			c := call(s)
			c.Linger = linger
			done <- d.Do(ctx, c)
		}()
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if linger > 0 {
			close(release)
		}
		<-done
		if open, _ := d.ConnectionCounts(); (open == 1) != (linger > 0) {
			t.Errorf("linger %s: %d connections are open; want 1 only if Do waited for the late answer", linger, open)
		}
		if linger == 0 {
			close(release)
		}
	}
}

func TestDoKeepsTheBudget(t *testing.T) {
	s := startSearcher(t, answers)
	d := newTestDialer(t, 3)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			c := call(s)
			c.NewConnection = i%3 == 0
			if r := d.Do(t.Context(), c); r.Fault != gatherer.FaultNone {
				t.Errorf("fault %s, want none", r.Fault)
			}
		})
	}
	wg.Wait()
	if open, waiting := d.ConnectionCounts(); open > 3 || waiting != 0 {
		t.Errorf("%d connections open, want at most 3; %d calls waiting, want 0", open, waiting)
	}
}

func TestDoReadsRefusals(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   gatherer.Fault
	}{
		{503, `{"kind":"draining"}`, gatherer.FaultDraining},
		{503, `{"kind":"shedding"}`, gatherer.FaultShed},
		{503, `{"kind":"deadline-passed"}`, gatherer.FaultShed},
		{409, `{"kind":"snapshot-not-held"}`, gatherer.FaultNotHeld},
		{503, `{"kind":"connection-limit"}`, gatherer.FaultNotSent},
		{500, `oops`, gatherer.FaultRejected},
	}
	for _, tt := range tests {
		s := startSearcher(t, func(c net.Conn, _ int64) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nAttempt-Id: r.0\r\nContent-Length: %d\r\n\r\n%s", tt.status, len(tt.body), tt.body)
			return err == nil
		})
		if r := newTestDialer(t, 1).Do(t.Context(), call(s)); r.Fault != tt.want {
			t.Errorf("answer %d %s: fault %s, want %s", tt.status, tt.body, r.Fault, tt.want)
		}
	}
}
