package dialer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestPoolAppliesASmallerBudget(t *testing.T) {
	s := startSearcher(t, answers)
	p := &pool{addr: s.addr, limit: 2, now: time.Now, mayReset: func() bool { return false }, dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return net.Dial("tcp", s.addr.String()) }}
	now := time.Now()
	var inUse []*conn
	for range 2 {
		c, err := p.take(t.Context(), now, demand{})
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, c)
	}
	ctx, cancel := context.WithCancel(t.Context())
	waitErr := make(chan error, 1)
	go func() {
		_, err := p.take(ctx, now, demand{})
		waitErr <- err
	}()
	for _, waiting := p.size(); waiting == 0; _, waiting = p.size() {
		time.Sleep(time.Millisecond)
	}
	p.trim(now, 1)
	p.retire(inUse[0], true, time.Time{})
	if open, waiting := p.size(); open != 1 || waiting != 1 {
		t.Errorf("after the budget fell to 1: %d connections open, %d calls waiting; want 1 and 1", open, waiting)
	}
	cancel()
	<-waitErr
	p.retire(inUse[1], true, time.Time{})
}
