package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// coldFactor is how much longer the work of a searcher takes that has just started.
const coldFactor = 1.6

// reply is what a searcher writes in answer to one request.
type reply struct {
	attempt string // the id that it repeats
	status  int
	header  string // further lines, each with its line end
	body    string
	chunked bool // the body is sent in chunks
	spoilt  bool // the status line names HTTP/1.0
}

// searcher is a stand-in for one searcher process at a fixed address. It serves one request at a time on a connection.
type searcher struct {
	service string
	address string
	slots   chan struct{}
	work    time.Duration
	rec     *record
	queue   int                       // requests that wait for a slot at the most; 0 is no bound
	cold    time.Duration             // how long it is slower by coldFactor after a start
	body    func(stamp string) string // of an answer
	// pauseEvery and pauseFor say how often and how long the searcher pauses; it pauses at its own times.
	pauseEvery, pauseFor time.Duration
	// chunked makes the searcher send its answers in chunks.
	chunked bool
	// spoils reports whether the status line of an answer is spoilt: it names HTTP/1.0. nil is never.
	spoils func() bool
	// repeats reports whether a late second copy of the last reply on a connection comes where that to the next request is
	// due; nil is never.
	repeats func(last *reply, next *http.Request) bool

	mu      sync.Mutex
	id      string
	born    time.Time
	ln      net.Listener
	conns   map[net.Conn]bool
	present int // requests that wait or run
}

func newSearcher(rec *record, service, address string, slots int, work time.Duration) *searcher {
	return &searcher{service: service, address: address, slots: make(chan struct{}, slots), work: work, rec: rec, body: textOf}
}

// start begins a new incarnation with the id. An empty address becomes a free port of searcherHost, which later starts keep.
func (x *searcher) start(id string) error {
	address := x.address
	if address == "" {
		address = searcherHost() + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.id, x.born, x.ln, x.conns, x.address = id, time.Now(), ln, map[net.Conn]bool{}, ln.Addr().String()
	x.mu.Unlock()
	x.rec.add("searcher-start", "searcher=%s service=%s address=%s", id, x.service, x.address)
	go x.accept(ln)
	return nil
}

// crash ends the incarnation: the port is closed and all connections are reset.
func (x *searcher) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rec.add("searcher-crash", "searcher=%s", x.id)
	_ = x.ln.Close()
	for c := range x.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	x.conns = map[net.Conn]bool{}
}

// entry returns what the searcher writes about itself in the store.
func (x *searcher) entry(state string, sequence int) map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	return map[string]any{
		"service": x.service, "address": x.address, "zone": zone, "version": "v1", "slots": cap(x.slots),
		"state": state, "cold_remaining_ms": max(0, x.cold-time.Since(x.born)).Milliseconds(), "sequence": sequence, "born": x.born.UnixMilli(),
	}
}

// searcherHost returns the loopback address of the searchers of this play. No connection begins there, so that none takes the
// port of a searcher that is down.
func searcherHost() string { return fmt.Sprintf("127.70.%d.%d", os.Getpid()>>8&255, 1+os.Getpid()%254) }

func (x *searcher) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		if x.ln != ln {
			x.mu.Unlock()
			_ = c.Close()
			continue
		}
		x.conns[c] = true
		id := x.id
		x.mu.Unlock()
		go x.serve(c, id)
	}
}

func (x *searcher) serve(c net.Conn, id string) {
	defer func() {
		x.mu.Lock()
		delete(x.conns, c)
		x.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	var last *reply
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if last != nil && x.repeats != nil && x.takeCopy(last, req) {
			x.rec.add("second-copy", "searcher=%s conn=%s of the reply to request=%s status=%d where that to request=%s is due", id, c.RemoteAddr(), last.attempt, last.status, req.Header.Get("X-Attempt-Id"))
			if _, err := c.Write(last.bytes()); err != nil {
				return
			}
		}
		a := x.answer(req, id, body)
		x.rec.countReply()
		if _, err := c.Write(a.bytes()); err != nil {
			return
		}
		x.rec.add("searcher-answer", "searcher=%s request=%s status=%d conn=%s spoilt=%t", id, a.attempt, a.status, c.RemoteAddr(), a.spoilt)
		if a.spoilt {
			return // a searcher of HTTP/1.0 closes the connection
		}
		last = &a
	}
}

// takeCopy reports whether a second copy comes now.
func (x *searcher) takeCopy(last *reply, next *http.Request) bool {
	return x.repeats(last, next) && x.rec.takeCopy()
}

// answer rejects a request that is meant for another searcher, and runs all others.
func (x *searcher) answer(req *http.Request, id string, body []byte) reply {
	attempt := req.Header.Get("X-Attempt-Id")
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != id {
		return reply{attempt: attempt, status: http.StatusMisdirectedRequest, header: "X-Not-Executed: 1\r\n"}
	}
	if !x.enter() {
		return reply{attempt: attempt, status: http.StatusServiceUnavailable, header: "X-Not-Executed: 1\r\n"}
	}
	x.slots <- struct{}{}
	defer x.leave()
	x.rec.run(attempt, id, x.service, req.Method+" "+req.RequestURI, body)
	time.Sleep(x.workNow())
	x.pause()
	st := stamp(x.service, id, attempt)
	return reply{
		attempt: attempt, status: http.StatusOK, header: "X-Server-Stamp: " + st + "\r\n", body: x.body(st),
		chunked: x.chunked, spoilt: x.spoils != nil && x.spoils(),
	}
}

// enter takes a place among the requests that wait or run, and reports whether there was one.
func (x *searcher) enter() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.queue > 0 && x.present >= cap(x.slots)+x.queue {
		return false
	}
	x.present++
	return true
}

func (x *searcher) leave() {
	<-x.slots
	x.mu.Lock()
	defer x.mu.Unlock()
	x.present--
}

// pause waits for the end of the searcher's pause, if it is in one.
func (x *searcher) pause() {
	if x.pauseEvery == 0 {
		return
	}
	x.mu.Lock()
	since := time.Since(x.born) % x.pauseEvery
	x.mu.Unlock()
	if since > x.pauseEvery-x.pauseFor {
		time.Sleep(x.pauseEvery - since)
	}
}

// workNow returns how long a request takes now.
func (x *searcher) workNow() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.born) < x.cold {
		return time.Duration(coldFactor * float64(x.work))
	}
	return x.work
}

func stamp(service, id, attempt string) string { return service + "/" + id + "/" + attempt }

func textOf(stamp string) string { return "answer " + stamp + "\n" }

func (a *reply) bytes() []byte {
	version, framing, body := "HTTP/1.1", fmt.Sprintf("Content-Length: %d", len(a.body)), a.body
	if a.spoilt {
		version = "HTTP/1.0"
	}
	if a.chunked {
		framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %d %s\r\nX-Attempt-Id: %s\r\n%s%s\r\n\r\n%s", version, a.status, http.StatusText(a.status), a.attempt, a.header, framing, body)
	return b.Bytes()
}
