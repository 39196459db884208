package dialer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

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

func call(s *testSearcher) Call {
	return Call{Address: s.addr, Path: "/v1/order", Request: "r", Attempt: "r.0", Deadline: time.Now().Add(time.Minute), Body: []byte("{}")}
}
