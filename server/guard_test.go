package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// serveGuarded serves the handler under the guard until the test ends, and returns the address.
func serveGuarded(t *testing.T, g *Guard, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, NewRouteServer(h), l, time.Second, WithGuard(g)) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// exchange sends bytes on a new connection and returns the first answer.
func exchange(t *testing.T, addr, request string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.WriteString(c, request) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = res.Body.Close()
	return res
}

// A head over its limit must be refused before its end is received, and never reach the handler.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	const limit = 1000
	long := "GET / HTTP/1.1\r\nHost: desk\r\n" + strings.Repeat("X-A: b\r\n", limit+HeadSlackBytes)
	tests := []struct {
		kind       refuser.Kind
		status     int
		retryAfter string
	}{
		{refuser.HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, ""},
		{refuser.Unconfigured, http.StatusServiceUnavailable, "1"},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			var handled atomic.Int32
			g := &Guard{HeadLimit: func() HeadLimit { return HeadLimit{limit, tt.kind} }}
			addr := serveGuarded(t, g, func(http.ResponseWriter, *http.Request) { handled.Add(1) })
			res := exchange(t, addr, long)
			if res.StatusCode != tt.status || res.Header.Get("Retry-After") != tt.retryAfter || !res.Close {
				t.Errorf("status %d, Retry-After %q, close %v; want %d, %q, true", res.StatusCode, res.Header.Get("Retry-After"), res.Close, tt.status, tt.retryAfter)
			}
			if handled.Load() != 0 {
				t.Error("the request was handled")
			}
		})
	}
}

// A head within its limit must be served whatever its body is, and also if it follows another request on its connection.
func TestHeadsWithinTheLimitAreServed(t *testing.T) {
	const limit = 2000
	g := &Guard{HeadLimit: FixedHeadLimit(limit)}
	addr := serveGuarded(t, g, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", int(n)))
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	const requests, bodyBytes = 20, 100_000
	lines := strings.Repeat("a:\n", limit/4)
	request := "POST / HTTP/1.1\r\nHost: desk\r\n" + lines + "Content-Length: 100000\r\n\r\n" + strings.Repeat("\n", bodyBytes)
	go func() { _, _ = io.WriteString(c, strings.Repeat(request, requests)) }()
	r := bufio.NewReader(c)
	for n := range requests {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d of %d: %v", n+1, requests, err)
		}
		got, err := io.Copy(io.Discard, res.Body)
		if err != nil || res.StatusCode != http.StatusOK || got != bodyBytes {
			t.Fatalf("request %d of %d: status %d, %d bytes, error %v", n+1, requests, res.StatusCode, got, err)
		}
	}
}

// A request whose handler reads none of its body must be answered although the body never ends.
func TestUnreadBodiesDelayNoAnswerForever(t *testing.T) {
	addr := serveGuarded(t, &Guard{HeadLimit: FixedHeadLimit(1000)}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	res := exchange(t, addr, "POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 10\r\n\r\nb")
	if res.StatusCode != http.StatusNotFound || !res.Close {
		t.Errorf("status %d, close %v; want 404, true", res.StatusCode, res.Close)
	}
}

// Connections whose requests never end must not hold a planned stop, and a refusal of such a request says that it has not
// run.
func TestUnfinishedRequestsHoldNoStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var reading atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reading.Add(1)
		if _, err := receiveBody(w, r, 1000, time.Minute); err != nil {
			Refuse(w, r, err)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		g := &Guard{HeadLimit: FixedHeadLimit(1000), Intake: limiter.NewIntake(1<<20, 100)}
		done <- Serve(ctx, NewRouteServer(h), l, time.Minute, WithGuard(g))
	}()
	var conns []net.Conn
	for _, request := range []string{"POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 10\r\n\r\nb", "GET / HTTP/1.1\r\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, request)
		conns = append(conns, c)
	}
	for reading.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("Serve returned %v, want nil", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the server has not stopped 20 s after it was told to")
	}
	res, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusTooManyRequests {
		t.Errorf("status %d, want 429", res.StatusCode)
	}
}
