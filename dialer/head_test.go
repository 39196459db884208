package dialer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// checkMalformedAnswer checks that an answer to a call, or to a ping, is not used and costs its connection.
func checkMalformedAnswer(t *testing.T, answer string) {
	t.Helper()
	s := startSearcher(t, func(c net.Conn, _ int64) bool {
		_, err := io.WriteString(c, answer)
		return err == nil
	})
	d := newTestDialer(t, 1)
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultCorrupt || r.Err == nil || r.Body != nil {
		t.Errorf("answer %q: fault %s with error %v and body %q, want corrupt with the cause and without a body", answer, r.Fault, r.Err, r.Body)
	}
	if _, err := d.Ping(t.Context(), s.addr, time.Minute); err == nil {
		t.Errorf("answer %q: counts as one of the load endpoint", answer)
	}
	if open, _ := d.ConnectionCounts(); open != 0 {
		t.Errorf("answer %q: %d connections are kept, want 0", answer, open)
	}
}

// jsonLoad is a body that the load endpoint may answer, and that a call may be answered with too.
const jsonLoad = "Content-Length: 62\r\n\r\n" + `{"in-flight":0,"slots":1,"draining":false,"snapshots-held":{}}`

// Guards against answers whose status is none that an answer can have: the library reads 000 as 200.
func TestAnswersWithoutAFinalStatusAreCorrupt(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "20", "2000", "+20", "2x0", "", "\x00\x00\x00"} {
		checkMalformedAnswer(t, "HTTP/1.1 "+status+" X\r\n"+jsonLoad)
		checkMalformedAnswer(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\n"+jsonLoad)
	}
	checkMalformedAnswer(t, "\r\nHTTP/1.1 000 X\r\n"+jsonLoad)
	checkMalformedAnswer(t, "HTTP/1.1 000\r\n"+jsonLoad)
}

// Sound answers of unusual forms must stay usable.
func TestUnusualAnswersAreRead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 \xfc\tok\r\n", "\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 199 X\r\n\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		s := startSearcher(t, func(c net.Conn, _ int64) bool {
			for i := range head { // one byte a segment
				_, _ = io.WriteString(c, head[i:i+1])
			}
			_, err := io.WriteString(c, jsonLoad)
			return err == nil
		})
		d := newTestDialer(t, 1)
		if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone || len(r.Body) != 62 {
			t.Errorf("head %q: fault %s (%v) with body %q, want none", head, r.Fault, r.Err, r.Body)
		}
		if _, err := d.Ping(t.Context(), s.addr, time.Minute); err != nil {
			t.Errorf("head %q: ping failed: %v", head, err)
		}
	}
}
