package dialer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// startLimitedSearcher starts a searcher that resets each connection beyond the limit, and then sends on resets.
func startLimitedSearcher(t *testing.T, limit int) (s *testSearcher, resets <-chan struct{}) {
	t.Helper()
	s = startSearcher(t, answers)
	resetDone := make(chan struct{}, 64)
	s.setAccepts(func(c net.Conn, open int) bool {
		if open <= limit {
			return true
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		resetDone <- struct{}{}
		return false
	})
	return s, resetDone
}

// awaitResets makes each dial wait until the searcher has reset the connection, so that tests don't depend on timing.
func awaitResets(d *Dialer, resets <-chan struct{}) {
	dial := d.dial
	d.dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err == nil {
			<-resets
		}
		return c, err
	}
}

// A searcher resets all new connections because other clients hold all that it allows. This happens after VMs lost
// power and started again, while the searcher still counts their connections from before. One request may be lost to
// detect that. Later requests must not be sent: since they cannot have run, they can be retried on other searchers at no
// cost.
func TestRequestsAreNotSentOnConnectionsThatAreReset(t *testing.T) {
	s, resets := startLimitedSearcher(t, 0)
	d := newTestDialer(t, 4)
	awaitResets(d, resets)
	call := Call{Address: s.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}
	notSent := 0
	const calls = 20
	for range calls {
		r := d.Do(t.Context(), call)
		if r.Fault == gatherer.FaultNone {
			t.Fatal("call succeeded although each connection is reset")
		}
		if r.Fault == gatherer.FaultNotSent && r.AtLimit {
			notSent++
		}
	}
	if notSent < calls-1 {
		t.Errorf("%d of %d requests ended as not sent because of the limit, want all but at most one", notSent, calls)
	}
	if !d.AtLimit(s.addr) {
		t.Error("AtLimit is false after resets of new connections")
	}
}

// Calls to a searcher at its connection limit use the open connections, and new ones once the searcher accepts them.
func TestOpenConnectionsAreUsedAtTheLimit(t *testing.T) {
	s, resets := startLimitedSearcher(t, 1)
	d := newTestDialer(t, 4)
	dial := d.dial
	call := Call{Address: s.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}
	if r := d.Do(t.Context(), call); r.Fault != gatherer.FaultNone {
		t.Fatalf("first call: fault %s, want none", r.Fault)
	}
	awaitResets(d, resets)
	d.pool(s.addr).dial = d.dial // the pool still has the function from before awaitResets
	d.Warm(t.Context(), s.addr)
	if !d.AtLimit(s.addr) {
		t.Fatal("AtLimit is false after the reset of a new connection")
	}
	if r := d.Do(t.Context(), call); r.Fault != gatherer.FaultNone {
		t.Errorf("call on the open connection: fault %s, want none", r.Fault)
	}
	s.setAccepts(func(net.Conn, int) bool { return true })
	d.pool(s.addr).dial = dial
	d.Warm(t.Context(), s.addr)
	if open, _ := d.ConnectionCounts(); open != 2 {
		t.Errorf("%d connections open, want 2", open)
	}
}

// A call that is cancelled during the probation of its new connection is not sent, and the connection is kept.
func TestCancelledCallsAreNotSent(t *testing.T) {
	s := startSearcher(t, answers)
	d := NewDialer(s.addr.Addr(), WithBudget(func(netip.AddrPort) int { return 4 }), WithProbation(func() bool { return true }))
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dial := d.dial
	d.dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, addr)
		cancel()
		return c, err
	}
	if r := d.Do(ctx, Call{Address: s.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}); r.Fault != gatherer.FaultNotSent || r.AtLimit {
		t.Errorf("cancelled call: fault %s, want not-sent without AtLimit", r.Fault)
	}
	time.Sleep(20 * time.Millisecond)
	if n := s.requests.Load(); n > 0 {
		t.Errorf("%d requests reached the searcher, want 0", n)
	}
	if r := d.Do(t.Context(), Call{Address: s.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}); r.Fault != gatherer.FaultNone {
		t.Errorf("next call: fault %s, want none", r.Fault)
	}
}

// While WithProbation's function returns true, as on a VM that has just started, resets are detected
// before the first request is sent.
func TestNoRequestIsLostDuringProbation(t *testing.T) {
	s, resets := startLimitedSearcher(t, 0)
	d := NewDialer(s.addr.Addr(), WithBudget(func(netip.AddrPort) int { return 4 }), WithProbation(func() bool { return true }))
	defer d.Close()
	awaitResets(d, resets)
	for range 5 {
		r := d.Do(t.Context(), Call{Address: s.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)})
		if r.Fault != gatherer.FaultNotSent || !r.AtLimit {
			t.Fatalf("call whose connection is reset: fault %s, want not-sent with AtLimit", r.Fault)
		}
	}
	if n := s.requests.Load(); n > 0 {
		t.Errorf("%d requests reached the searcher, want 0", n)
	}
}
