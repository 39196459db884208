package dialer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSearcher accepts connections and passes each request to the test's handle function, which answers it and reports
// whether to keep the connection open. The second argument of handle is the number of requests so far.
type testSearcher struct {
	addr     netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	open     int
	maxOpen  int
	requests atomic.Int64
	conns    []net.Conn
	accepts  func(c net.Conn, open int) bool // nil accepts all
	wg       sync.WaitGroup
}

func startSearcher(t *testing.T, handle func(c net.Conn, n int64) bool) *testSearcher {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testSearcher{addr: l.Addr().(*net.TCPAddr).AddrPort(), listener: l}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted := s.count(1, c)
			s.wg.Go(func() {
				defer s.count(-1, nil)
				defer func() { _ = c.Close() }()
				if accepted {
					s.serve(c, handle)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.closeAll()
		s.wg.Wait()
	})
	return s
}

// count adds n to the number of open connections. For a new connection c it reports whether to accept it;
// for a closed one, c is nil.
func (s *testSearcher) count(n int, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
	s.maxOpen = max(s.maxOpen, s.open)
	if c != nil {
		s.conns = append(s.conns, c)
	}
	return c == nil || s.accepts == nil || s.accepts(c, s.open)
}

func (s *testSearcher) setAccepts(f func(c net.Conn, open int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepts = f
}

func (s *testSearcher) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *testSearcher) serve(c net.Conn, handle func(net.Conn, int64) bool) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !handle(c, s.requests.Add(1)) {
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func answers(c net.Conn, _ int64) bool {
	_, err := io.WriteString(c, okAnswer)
	return err == nil
}

func newTestDialer(t *testing.T, budget int) *Dialer {
	t.Helper()
	d := NewDialer(netip.MustParseAddr("127.0.0.1"), WithBudget(func(netip.AddrPort) int { return budget }))
	t.Cleanup(d.Close)
	return d
}

func call(s *testSearcher) Call {
	return Call{Address: s.addr, Path: "/v1/order", Request: "r", Attempt: "r.0", Deadline: time.Now().Add(time.Minute), Body: []byte("{}")}
}

func TestWarmOpensAnIdleConnection(t *testing.T) {
	s := startSearcher(t, answers)
	d := newTestDialer(t, 2)
	if !d.NeedsWarming(s.addr) {
		t.Error("NeedsWarming is false although no connection is open")
	}
	d.Warm(t.Context(), s.addr)
	if !d.HasIdle(s.addr) || d.NeedsWarming(s.addr) {
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

func TestPoolAppliesASmallerBudget(t *testing.T) {
	s := startSearcher(t, answers)
	p := &pool{addr: s.addr, limit: 2, now: time.Now, mayReset: func() bool { return false }, dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return net.Dial("tcp", s.addr.String()) }}
	now := time.Now()
	var inUse []*conn
	for range 2 {
		c, err := p.take(t.Context(), now, time.Time{}, anyIdle, nil)
		if err != nil {
			t.Fatal(err)
		}
		inUse = append(inUse, c)
	}
	ctx, cancel := context.WithCancel(t.Context())
	waitErr := make(chan error, 1)
	go func() {
		_, err := p.take(ctx, now, time.Time{}, anyIdle, nil)
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

func TestSilenceOfSeveralSearchers(t *testing.T) {
	var s silenceDetector
	start := time.Unix(1_800_000_000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	s.record(a, start, start.Add(time.Millisecond))
	s.record(a, start, start.Add(2*time.Millisecond))
	if !s.minLastRead().IsZero() {
		t.Error("one silent searcher excluded the idle connections to all searchers")
	}
	s.record(b, start.Add(3*SilenceWindow), start.Add(3*SilenceWindow))
	if !s.minLastRead().IsZero() {
		t.Error("two searchers silent at different times excluded the idle connections to all searchers")
	}
	s.record(a, start.Add(3*SilenceWindow+1), start.Add(3*SilenceWindow+2))
	if !s.minLastRead().Equal(start.Add(3 * SilenceWindow)) {
		t.Errorf("two searchers silent at once: minLastRead is %s, want the start of the first silent exchange", s.minLastRead())
	}
}

func TestMergeHits(t *testing.T) {
	a := []Hit{{Document: "b", Score: 0.5}, {Document: "a", Score: 0.5}}
	b := []Hit{{Document: "c", Score: 0.9}, {Document: "a", Score: 0.7}}
	got := MergeHits(a, b, 3)
	if fmt.Sprint(got) != "[{c 0.9 } {a 0.7 } {b 0.5 }]" {
		t.Errorf("merged hits are %v, want c 0.9, a 0.7, b 0.5", got)
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = server.Write(b)
			_ = server.Close()
		}()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("/load")
		req.Header.SetHost("x")
		if _, err := newConn(client).exchange(t.Context(), req, res, 0, MaxAnswerBytes); err == nil {
			decodeNative(res, &Call{})
		}
		_ = client.Close()
		<-done
	})
}
