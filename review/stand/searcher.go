package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Call is one request that a searcher received, with its whole body, and the connection that it came on.
type Call struct {
	Conn    net.Conn
	Request *http.Request
	Body    []byte
	ID      string // X-Attempt-Id
	Host    string // the loopback address of the VM that sent it
	From    string // address and port of the sender, which tell the connections apart
}

// Handler answers one call by the bytes that it returns; nil closes the connection.
type Handler func(c *Call) []byte

// Searcher is a stand-in for a searcher on raw TCP, so that it can send any bytes.
type Searcher struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort

	handler  Handler
	listener net.Listener
	born     int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int
	stopped  chan struct{}
}

// NewSearcher starts a searcher at the address; port 0 takes a free one.
func NewSearcher(id, service, zone string, at netip.AddrPort, h Handler) (*Searcher, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	s := &Searcher{
		ID: id, Service: service, Zone: zone, Address: l.Addr().(*net.TCPAddr).AddrPort(),
		handler: h, listener: l, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, stopped: make(chan struct{}),
	}
	go s.accept()
	return s, nil
}

// Crash ends the searcher: its port closes, its connections are reset, and it sends no more heartbeats.
func (s *Searcher) Crash() {
	_ = s.listener.Close()
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Register writes the searcher's entry to the store.
func (s *Searcher) Register(store *imitator.Store, state string, coldMS int64) {
	s.mu.Lock()
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	store.Put("servers/"+s.ID, map[string]any{
		"service": s.Service, "address": s.Address.String(), "zone": s.Zone, "version": "v1", "slots": Slots,
		"state": state, "cold_remaining_ms": coldMS, "sequence": n, "born": s.born,
	})
}

// Stopped is closed when the searcher has crashed.
func (s *Searcher) Stopped() <-chan struct{} { return s.stopped }

func (s *Searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Searcher) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	from := c.RemoteAddr().String()
	host, _, _ := net.SplitHostPort(from)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := &Call{Conn: c, Request: req, Body: body, ID: req.Header.Get("X-Attempt-Id"), Host: host, From: from}
		var answer []byte
		if req.Header.Get("X-Expected-Instance") != s.ID {
			answer = Answer(http.StatusMisdirectedRequest, nil, "X-Attempt-Id", call.ID)
		} else {
			answer = s.handler(call)
		}
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// Slots is how many requests a searcher runs at once, and Queue how many more wait for a slot, where a script does not
// say otherwise.
const (
	Slots = 2
	Queue = 2
)

// Answer returns the bytes of an answer with a length; headers are names and values by turns.
func Answer(status int, body []byte, headers ...string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// Success returns the searcher's answer to a request that it ran.
func (s *Searcher) Success(id string) []byte {
	stamp := imitator.Stamp(s.Service, s.ID, id)
	return Answer(http.StatusOK, imitator.ShardAnswer(stamp), "X-Attempt-Id", id, "X-Server-Stamp", stamp)
}

// Full returns the answer to a request that is rejected, and was not run, because the searcher is full. Further headers
// are names and values by turns.
func Full(id string, headers ...string) []byte {
	return Answer(http.StatusServiceUnavailable, nil, append([]string{"X-Attempt-Id", id, "X-Not-Executed", "1"}, headers...)...)
}

// Worker limits the requests that a searcher runs at once.
type Worker struct {
	mu      sync.Mutex
	present int
	most    int
	slots   chan struct{}
}

// NewWorker returns a worker with so many slots and so many places in its queue.
func NewWorker(slots, queue int) *Worker {
	return &Worker{most: slots + queue, slots: make(chan struct{}, slots)}
}

// Run waits for a slot and runs the work in it, or returns false at once if the queue is full.
func (w *Worker) Run(work func()) bool {
	w.mu.Lock()
	if w.present >= w.most {
		w.mu.Unlock()
		return false
	}
	w.present++
	w.mu.Unlock()
	w.slots <- struct{}{}
	work()
	<-w.slots
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present--
	return true
}
