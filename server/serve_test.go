package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Callers whose connections wait in the accept queue with complete requests must get answers when the server stops.
func TestStopAnswersTheAcceptQueue(t *testing.T) {
	const callers = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]net.Conn, callers)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }()
		if _, err = io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	start := time.Now()
	if err := Serve(ctx, s, l, 2*time.Second); err != nil {
		t.Errorf("Serve returned %v, want nil", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("stopping the server took %s, want at most 1s", took)
	}
	for i, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("caller %d of %d got no complete answer: %v", i+1, callers, err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "served" || res.StatusCode != http.StatusOK {
			t.Errorf("caller %d got status %d and body %q (read error %v), want 200 and \"served\"", i+1, res.StatusCode, body, err)
		}
		_ = res.Body.Close()
	}
}

// Requests on connections that are open when the server begins to stop get their answers, however much of the
// request has been sent by then, even if nothing has.
func TestStopAnswersWhatIsUnderWay(t *testing.T) {
	tests := []struct{ name, sentBefore, sentAfter string }{
		{"nothing sent yet", "", "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"},
		{"half of the headers", "GET / HTTP/1.1\r\nHo", "st: desk\r\n\r\n"},
		{"half of the body", "POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbo", "dy"},
		{"the whole request", "GET / HTTP/1.1\r\nHost: desk\r\n\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			s := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(w, "served")
			}))
			serveErr := make(chan error, 1)
			go func() { serveErr <- Serve(ctx, s, l, 2*time.Second) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, tt.sentBefore)
			time.Sleep(30 * time.Millisecond)
			cancel()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, tt.sentAfter)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if body, err := io.ReadAll(res.Body); err != nil || string(body) != "served" || !res.Close {
				t.Errorf("got body %q (read error %v) with Connection: close %v, want \"served\" and true", body, err, res.Close)
			}
			_ = res.Body.Close()
			if err := <-serveErr; err != nil {
				t.Errorf("Serve returned %v, want nil", err)
			}
		})
	}
}

// A request that arrives on a keep-alive connection while the server stops must be answered in full or not handled.
func TestStopAnswersEveryHandledRequest(t *testing.T) {
	for range 30 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var handled atomic.Int64
		s := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			handled.Add(1)
			_, _ = io.WriteString(w, "served")
		}))
		serveErr := make(chan error, 1)
		go func() { serveErr <- Serve(ctx, s, l, 2*time.Second) }()
		const callers = 8
		answered := make(chan int64, callers)
		for range callers {
			go func() { answered <- askUntilClosed(l.Addr().String()) }()
		}
		time.Sleep(5 * time.Millisecond)
		cancel()
		sum := int64(0)
		for range callers {
			sum += <-answered
		}
		if err := <-serveErr; err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
		if n := handled.Load(); n != sum {
			t.Fatalf("%d requests were handled but %d were answered in full, want as many", n, sum)
		}
	}
}

// askUntilClosed sends one request after the other on one connection until the server closes it, and returns how many
// requests were answered in full.
func askUntilClosed(addr string) int64 {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := int64(0); ; n++ {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"); err != nil {
			return n
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || string(body) != "served" {
			return n
		}
		if res.Close {
			return n + 1
		}
	}
}

// The server stops in time although callers keep opening new connections.
func TestStopEndsWhileNewConnectionsKeepComing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	serveErr := make(chan error, 1)
	go func() { serveErr <- Serve(ctx, s, l, time.Second) }()
	callerDone := make(chan struct{})
	go func() {
		defer close(callerDone)
		for {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	select {
	case err := <-serveErr:
		if err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("Serve did not return within 3s of the stop although its grace period is 1s")
	}
	<-callerDone
}
