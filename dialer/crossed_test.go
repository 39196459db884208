package dialer

import (
	"fmt"
	"net"
	"testing"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// Guards against orders that run twice: a refusal that names another attempt, or none, proves nothing of this attempt.
func TestRefusalOfAnotherAttemptProvesNothing(t *testing.T) {
	for _, kind := range []RefusalKind{RefusedDraining, RefusedShedding, RefusedNotHeld, RefusedLate, RefusedLimit} {
		for _, header := range []string{"", "Attempt-Id: other.0\r\n"} {
			s := startSearcher(t, func(c net.Conn, n int64) bool {
				if n == 1 {
					return answers(c, n)
				}
				body := fmt.Sprintf(`{"kind":%q}`, kind)
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%sDraining: true\r\nRetry-After: 9\r\nSnapshots-Held: 7\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
				return err == nil
			})
			d := newTestDialer(t, 1)
			_ = d.Do(t.Context(), call(s)) // a connection that was used may carry late answers to other attempts
			r := d.Do(t.Context(), call(s))
			if r.Fault != gatherer.FaultCrossed {
				t.Errorf("refusal %s with header %q: fault %s, want crossed", kind, header, r.Fault)
			}
			if r.Draining || r.RetryAfter > 0 || r.Held != nil {
				t.Errorf("refusal %s with header %q: an answer to another attempt changes what the searcher may be sent", kind, header)
			}
			if open, _ := d.ConnectionCounts(); open != 0 {
				t.Errorf("refusal %s with header %q: the connection, on which the answer is still due, is kept", kind, header)
			}
		}
	}
}
