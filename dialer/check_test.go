package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	s := startSearcher(t, func(c net.Conn, _ int64) bool {
		body := `{"in-flight":0,"slots":1,"draining":false,"snapshots-held":{}}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	d := newTestDialer(t, 2)
	if l := d.Check(t.Context(), s.addr, time.Minute); l != Alive {
		t.Errorf("searcher that answers: liveness %d, want 1 (alive)", l)
	}
	busy := startSearcher(t, func(c net.Conn, _ int64) bool {
		body := `{"kind":"connection-limit"}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	if l := d.Check(t.Context(), busy.addr, time.Minute); l != Alive {
		t.Errorf("searcher that answers with a refusal: liveness %d, want 1 (alive)", l)
	}
	_ = s.listener.Close()
	s.closeAll()
	if l := d.Check(t.Context(), s.addr, time.Minute); l != Dead {
		t.Errorf("searcher that refuses connections: liveness %d, want 2 (dead)", l)
	}
	silent := startSearcher(t, func(net.Conn, int64) bool { return true })
	if l := d.Check(t.Context(), silent.addr, 20*time.Millisecond); l != Unclear {
		t.Errorf("silent searcher: liveness %d, want 0 (unclear)", l)
	}
}

func TestCheckThatTimesOutIsUnclear(t *testing.T) {
	d := newTestDialer(t, 1)
	d.dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	if l := d.Check(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), time.Minute); l != Unclear {
		t.Errorf("dial that timed out before its context: liveness %d, want 0 (unclear)", l)
	}
}
