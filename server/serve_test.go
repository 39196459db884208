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

// The load: callers whose connections wait in the accept queue, with whole requests, when the server is told to stop.
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
		t.Errorf("the server ended with: %v", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the stop took %s", took)
	}
	for i, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("caller %d of %d got no answer: %v", i+1, callers, err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "served" || res.StatusCode != http.StatusOK {
			t.Errorf("caller %d got %d %q, %v", i+1, res.StatusCode, body, err)
		}
		_ = res.Body.Close()
	}
}

// Requests that were under way when the server was told to stop, in any part, get their answers.
func TestStopAnswersWhatIsUnderWay(t *testing.T) {
	tests := []struct{ name, before, after string }{
		{"nothing sent yet", "", "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"},
		{"half of a head", "GET / HTTP/1.1\r\nHo", "st: desk\r\n\r\n"},
		{"half of a body", "POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbo", "dy"},
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
			ended := make(chan error, 1)
			go func() { ended <- Serve(ctx, s, l, 2*time.Second) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, tt.before)
			time.Sleep(30 * time.Millisecond)
			cancel()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, tt.after)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if body, err := io.ReadAll(res.Body); err != nil || string(body) != "served" || !res.Close {
				t.Errorf("got %q, %v, told to close: %v", body, err, res.Close)
			}
			_ = res.Body.Close()
			if err := <-ended; err != nil {
				t.Errorf("the server ended with: %v", err)
			}
		})
	}
}

// A request on a kept connection that comes while the server stops is either answered whole or never handled.
func TestStopHandlesNothingThatItCuts(t *testing.T) {
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
		ended := make(chan error, 1)
		go func() { ended <- Serve(ctx, s, l, 2*time.Second) }()
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
		if err := <-ended; err != nil {
			t.Errorf("the server ended with: %v", err)
		}
		if n := handled.Load(); n != sum {
			t.Fatalf("%d requests were handled, %d answered", n, sum)
		}
	}
}

// askUntilClosed sends one request after the other on one connection until it is closed, and returns how many were answered whole.
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

// A stop ends though new connections never cease to come.
func TestStopEndsWhileCallersGoOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := NewHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, s, l, time.Second) }()
	over := make(chan struct{})
	go func() {
		defer close(over)
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
	case err := <-ended:
		if err != nil {
			t.Errorf("the server ended with: %v", err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the stop does not end")
	}
	<-over
}
