package dialer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// startLimitedSearcher starts a searcher that resets each connection beyond a number, and tells of each.
func startLimitedSearcher(t *testing.T, connections int) (u *testSearcher, resets <-chan struct{}) {
	t.Helper()
	u = startSearcher(t, answers)
	told := make(chan struct{}, 64)
	u.setAccepts(func(c net.Conn, open int) bool {
		if open <= connections {
			return true
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		told <- struct{}{}
		return false
	})
	return u, told
}

// awaitResets has the dialer return its connections once they are reset, however busy the machine is.
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

// The load: a searcher whose connections are held by others, as after a loss of power. One request may be lost to find that out; those after it are not sent, so that they may be tried elsewhere at no cost.
func TestRequestsAreNotSentOnConnectionsThatAreReset(t *testing.T) {
	u, resets := startLimitedSearcher(t, 0)
	d := newTestDialer(t, 4)
	awaitResets(d, resets)
	call := Call{Address: u.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}
	notSent := 0
	const calls = 20
	for range calls {
		r := d.Do(t.Context(), call)
		if r.Fault == gatherer.FaultNone {
			t.Fatal("an answer without a connection")
		}
		if r.Fault == gatherer.FaultNotSent && r.AtLimit {
			notSent++
		}
	}
	if notSent < calls-1 {
		t.Errorf("%d of %d requests were not sent", notSent, calls)
	}
	if !d.AtLimit(u.addr) {
		t.Error("the searcher does not count as at its limit")
	}
}

// A searcher that is at its limit is asked on the connections that are open, and on new ones once it takes them again.
func TestOpenConnectionsOfASearcherAtItsLimitServe(t *testing.T) {
	u, resets := startLimitedSearcher(t, 1)
	d := newTestDialer(t, 4)
	dial := d.dial
	call := Call{Address: u.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}
	if r := d.Do(t.Context(), call); r.Fault != gatherer.FaultNone {
		t.Fatalf("the first call: %s", r.Fault)
	}
	awaitResets(d, resets)
	d.pool(u.addr).dial = d.dial
	d.Warm(t.Context(), u.addr)
	if !d.AtLimit(u.addr) {
		t.Fatal("a reset of a new connection was not noticed")
	}
	if r := d.Do(t.Context(), call); r.Fault != gatherer.FaultNone {
		t.Errorf("on the open connection: %s", r.Fault)
	}
	u.setAccepts(func(net.Conn, int) bool { return true })
	d.pool(u.addr).dial = dial
	d.Warm(t.Context(), u.addr)
	if open, _ := d.Open(); open != 2 {
		t.Errorf("%d connections are open, not 2", open)
	}
}

// A call that is cancelled while its connection is still on trial is not sent, and the connection is kept.
func TestCancelledCallsAreNotSent(t *testing.T) {
	u := startSearcher(t, answers)
	d := NewDialer(u.addr.Addr(), WithBudget(func(netip.AddrPort) int { return 4 }), WithCaution(func() bool { return true }))
	defer d.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dial := d.dial
	d.dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, addr)
		cancel()
		return c, err
	}
	if r := d.Do(ctx, Call{Address: u.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}); r.Fault != gatherer.FaultNotSent || r.AtLimit {
		t.Errorf("a cancelled call ended as %s", r.Fault)
	}
	time.Sleep(20 * time.Millisecond)
	if n := u.requests.Load(); n > 0 {
		t.Errorf("%d requests reached the searcher", n)
	}
	if r := d.Do(t.Context(), Call{Address: u.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)}); r.Fault != gatherer.FaultNone {
		t.Errorf("the next call ended as %s", r.Fault)
	}
}

// A VM that has just started finds out before its first request.
func TestNoRequestIsLostByACautiousVM(t *testing.T) {
	u, resets := startLimitedSearcher(t, 0)
	d := NewDialer(u.addr.Addr(), WithBudget(func(netip.AddrPort) int { return 4 }), WithCaution(func() bool { return true }))
	defer d.Close()
	awaitResets(d, resets)
	for range 5 {
		r := d.Do(t.Context(), Call{Address: u.addr, Path: "/v1/search", Deadline: time.Now().Add(time.Second)})
		if r.Fault != gatherer.FaultNotSent || !r.AtLimit {
			t.Fatalf("a request on a connection that is reset ended as %s", r.Fault)
		}
	}
	if n := u.requests.Load(); n > 0 {
		t.Errorf("%d requests reached the searcher", n)
	}
}
