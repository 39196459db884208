package flooder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

const (
	host      = "desk.example"
	crowdSize = 1000 // clients that send without end or hold on
	// floodLength is how long the clients go on. Those whose connection is closed come back.
	floodLength   = 4 * time.Second
	comeBackDelay = 50 * time.Millisecond
)

// client sends its bytes on a new connection.
type client func(w io.Writer, id string)

// flood has a crowd of clients send to the address until the context ends, and returns when all have left.
func flood(ctx context.Context, addr netip.AddrPort, size int, send client) {
	var wg sync.WaitGroup
	var count atomic.Int64
	for range size {
		wg.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, addr, fmt.Sprintf("flood-%d", count.Add(1)), send)
				select {
				case <-ctx.Done():
				case <-time.After(comeBackDelay):
				}
			}
		})
	}
	wg.Wait()
}

// connect opens a connection, sends, and holds the connection until it is closed or the context ends.
func connect(ctx context.Context, addr netip.AddrPort, id string, send client) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	send(c, id)
	_, _ = io.Copy(io.Discard, c)
}

// shortLines returns header lines such as "a1:" of at most the given length together.
func shortLines(length int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; ; i++ {
		line := "x" + string(digits[i/36/36%36]) + string(digits[i/36%36]) + string(digits[i%36]) + ":\n"
		if b.Len()+len(line) > length {
			return b.String()
		}
		b.WriteString(line)
	}
}

// head returns the beginning of a request, without the empty line at its end.
func head(method, path, id string) string {
	return imitator.Head(method, path, host, id)
}

// endless writes the text until the connection is closed.
func endless(w io.Writer, text string) {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// chunked returns a body in chunks, without the last one.
func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

func send(w io.Writer, texts ...string) {
	for _, s := range texts {
		if _, err := io.WriteString(w, s); err != nil {
			return
		}
	}
}

// Clients of each kind must cost the process no more than its machine has, and ordinary callers must be answered after
// them.
func TestFloods(t *testing.T) {
	var (
		longHead  = shortLines(250 << 10)
		legalHead = shortLines(15 << 10)
		body      = strings.Repeat("b", maxBodyBytes)
		pieces    = chunked(body, 2<<10)
		kilobyte  = strings.Repeat("x", 1<<10)
		crlfs     = strings.Repeat("\r\n", 1<<10)
	)
	post := func(w io.Writer, id, lines, body string) {
		send(w, head(http.MethodPost, "/lookup/1", id), lines, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), body)
	}
	tests := []struct {
		name string
		send client
	}{
		{"heads over the limit without their end", func(w io.Writer, id string) { send(w, head(http.MethodGet, "/lookup/1", id), longHead) }},
		{"short header lines without end", func(w io.Writer, id string) {
			send(w, head(http.MethodGet, "/lookup/1", id))
			endless(w, longHead)
		}},
		{"long header lines without end", func(w io.Writer, id string) {
			send(w, head(http.MethodGet, "/lookup/1", id))
			endless(w, "X-Long: "+kilobyte+"\r\n")
		}},
		{"a header line without end", func(w io.Writer, id string) {
			send(w, head(http.MethodGet, "/lookup/1", id), "X-Long: ")
			endless(w, kilobyte)
		}},
		{"a request line without end", func(w io.Writer, _ string) {
			send(w, "GET /lookup/")
			endless(w, kilobyte)
		}},
		{"empty lines without end before a request", func(w io.Writer, _ string) { endless(w, crlfs) }},
		{"empty lines without end after a POST", func(w io.Writer, id string) {
			send(w, head(http.MethodPost, "/lookup/1", id), "Content-Length: 1\r\n\r\nb")
			endless(w, crlfs)
		}},
		{"bodies short of their last byte", func(w io.Writer, id string) { post(w, id, "", body[1:]) }},
		{"chunked bodies short of their end", func(w io.Writer, id string) {
			send(w, head(http.MethodPost, "/lookup/1", id), "Transfer-Encoding: chunked\r\n\r\n", pieces)
		}},
		{"legal heads of short lines, bodies short of their last byte", func(w io.Writer, id string) { post(w, id, legalHead, body[1:]) }},
		{"legal heads of short lines, bodies that do not begin", func(w io.Writer, id string) { post(w, id, legalHead, "") }},
		{"legal heads of short lines, again and again", func(w io.Writer, id string) {
			for n := range 50 {
				send(w, head(http.MethodGet, "/lookup/1", fmt.Sprintf("%s-%d", id, n)), legalHead, "\r\n")
			}
		}},
		{"whole legal bodies", func(w io.Writer, id string) { post(w, id, "", body) }},
		{"whole legal bodies and heads of short lines, over shards", func(w io.Writer, id string) {
			send(w, head(http.MethodPost, "/sweep/1", id), legalHead, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), body)
		}},
	}
	for _, tt := range tests {
		t.Run(strings.NewReplacer(" ", "_", ",", "").Replace(tt.name), func(t *testing.T) {
			v := startVM(t, smallest())
			v.withstand(crowdSize, tt.send)
			v.ask("/lookup/1")
			v.ask("/sweep/1")
			v.checkProcess()
		})
	}
}

// Requests that are whole and legal must cost no more than the machine has while slow searchers keep them under way.
func TestFloodsAtSlowSearchers(t *testing.T) {
	lines := shortLines(15 << 10)
	body := strings.Repeat("b", maxBodyBytes)
	for _, path := range []string{"/lookup/1", "/sweep/1"} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			v := startVM(t, smallest())
			for _, x := range v.searchers {
				x.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
					select {
					case <-r.Context().Done():
					case <-time.After(time.Second):
					}
					return false
				})
			}
			v.withstand(crowdSize, func(w io.Writer, id string) {
				send(w, head(http.MethodPost, path, id), lines, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body)
			})
			for _, x := range v.searchers {
				x.SetOverride(nil)
			}
			v.ask("/lookup/1")
			v.ask("/sweep/1")
			v.checkProcess()
		})
	}
}

// withstand plays a flood until its clients have left.
func (v *vm) withstand(size int, send client) {
	ctx, cancel := context.WithTimeout(v.t.Context(), floodLength)
	defer cancel()
	flood(ctx, v.callers, size, send)
}

// Connections on which nothing is sent must leave descriptors for searchers, the store and other VMs, and ordinary
// callers must be answered beside them.
func TestSilentConnections(t *testing.T) {
	m := smallest()
	m.descriptors = 600
	v := startVM(t, m)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		flood(ctx, v.callers, m.descriptors, func(io.Writer, string) {})
	}()
	time.Sleep(floodLength)
	v.ask("/lookup/1")
	v.ask("/sweep/1")
	cancel()
	<-gone
	v.checkProcess()
}

// Clients that read none of their answers must not hold them, and their connections, for as long as they like.
func TestAnswersThatNobodyReads(t *testing.T) {
	m := smallest()
	m.idleTimeout = time.Second
	v := startVM(t, m)
	large := strings.Repeat("a", 1_000_000)
	v.searchers["portal"].SetOverride(v.searchers["portal"].AnswerWith(large))
	const size = 150
	for n := range size {
		c := dialWithoutBuffer(t, v.callers)
		go func() {
			for k := range 1000 {
				send(c, head(http.MethodGet, "/lookup/1", fmt.Sprintf("unread-%d-%d", n, k)), "\r\n")
			}
		}()
	}
	time.Sleep(2 * floodLength)
	v.eventually("connections whose answers nobody reads are closed", func() bool { return v.callerConns() < size/2 })
	v.ask("/sweep/1")
	v.checkProcess()
}

// dialWithoutBuffer opens a connection that receives as little as possible while nobody reads from it.
func dialWithoutBuffer(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(1)
	return c
}

// A client that never ends the body of a request that is refused for its head must not hold its connection for as long as
// it likes.
func TestUnfinishedBodiesOfRefusedRequests(t *testing.T) {
	v := startVM(t, smallest())
	const size = 300
	for range size {
		c, err := net.Dial("tcp", v.callers.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		send(c, head(http.MethodPost, "/lookup/1", "not an id"), "Content-Length: 1000\r\n\r\nb")
	}
	time.Sleep(2 * floodLength)
	v.eventually("connections whose bodies never end are closed", func() bool { return v.callerConns() < size/2 })
	v.ask("/lookup/1")
	v.checkProcess()
}

// A planned stop amid clients that never finish must end by itself.
func TestStopAmidAFlood(t *testing.T) {
	v := startVM(t, smallest())
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		body := strings.Repeat("b", maxBodyBytes-1)
		flood(ctx, v.callers, crowdSize/5, func(w io.Writer, id string) {
			send(w, head(http.MethodPost, "/lookup/1", id), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes), body)
		})
	}()
	time.Sleep(floodLength / 2)
	v.ask("/lookup/1")
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(answerWait):
		t.Error("the VM has not ended")
	}
	if code := v.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	cancel()
	<-gone
}
