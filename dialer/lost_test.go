package dialer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// Guards against searchers that crash in the middle of an answer and are not counted as lost: only a lost connection makes
// the request that crashed them suspect.
func TestConnectionThatEndsInAnAnswerIsLost(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"
	endings := map[string]func(c net.Conn){
		"close": func(c net.Conn) { _ = c.Close() },
		"reset": func(c net.Conn) {
			time.Sleep(2 * time.Millisecond) // so that the reset doesn't overtake the bytes
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
	}
	for name, end := range endings {
		for cut := range len(whole) {
			s := startSearcher(t, func(c net.Conn, _ int64) bool {
				_, _ = io.WriteString(c, whole[:cut])
				end(c)
				return false
			})
			if r := newTestDialer(t, 1).Do(t.Context(), call(s)); r.Fault != gatherer.FaultLost {
				t.Errorf("%s after %q: fault %s, want lost", name, whole[:cut], r.Fault)
			}
		}
	}
	for _, bytes := range []string{"nonsense\r\n\r\n", whole[:9] + "x00 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"} {
		s := startSearcher(t, func(c net.Conn, _ int64) bool {
			_, err := io.WriteString(c, bytes)
			return err == nil
		})
		if r := newTestDialer(t, 1).Do(t.Context(), call(s)); r.Fault != gatherer.FaultCorrupt {
			t.Errorf("bytes %q on a connection that stays open: fault %s, want corrupt", bytes, r.Fault)
		}
	}
}
