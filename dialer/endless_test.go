package dialer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// startEndlessSearcher starts a searcher that answers each request with head and then repeats the same bytes
// until the connection is closed, with a pause of gap between two writes.
func startEndlessSearcher(t *testing.T, head, repeated string, gap time.Duration) (addr netip.AddrPort, open *atomic.Int64) {
	t.Helper()
	open = &atomic.Int64{}
	bytes := []byte(repeated) // converted once: the test measures the heap during the writes
	s := startSearcher(t, func(c net.Conn, _ int64) bool {
		open.Add(1)
		defer open.Add(-1)
		if _, err := io.WriteString(c, head); err != nil {
			return false
		}
		for {
			if _, err := c.Write(bytes); err != nil {
				return false
			}
			time.Sleep(gap)
		}
	})
	return s.addr, open
}

// A searcher answers fifty concurrent attempts with bytes that never end. Each attempt must end with a fault in time,
// its connection must be closed, and the heap must not grow by more than twice the limits of the answers.
func TestEndlessAnswers(t *testing.T) {
	const (
		attempts = 50
		deadline = time.Second
		ok       = "HTTP/1.1 200 OK\r\n"
	)
	kilobyte := strings.Repeat("x", 1024)
	tests := []struct {
		name     string
		head     string
		repeated string
		gap      time.Duration
	}{
		{"no answer", "", kilobyte, 0},
		{"status line", "HTTP/1.1 200 ", kilobyte, 0},
		{"header lines", ok, "X-More: " + kilobyte + "\r\n", 0},
		{"one header line", ok + "X-More: ", kilobyte, 0},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 0},
		{"body until the connection ends", ok + "Connection: close\r\n\r\n", kilobyte, 0},
		{"body longer than any answer", ok + "Content-Length: 99999999999\r\n\r\n", kilobyte, 0},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0},
		{"one chunk", ok + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", kilobyte, 0},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1024), 0},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", kilobyte, 0},
		{"spaces after a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n4", strings.Repeat(" ", 1024), 0},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + kilobyte + "\r\n", 0},
		{"slow header lines", ok, "X: y\r\n", 20 * time.Millisecond},
		{"slow body", ok + "Connection: close\r\n\r\n", "x", 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, open := startEndlessSearcher(t, tt.head, tt.repeated, tt.gap)
			d := NewDialer(addr.Addr(), WithBudget(func(netip.AddrPort) int { return attempts }))
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			heapBefore := heapBytes()
			start := time.Now()
			replies := make(chan Reply, attempts)
			for range attempts {
				go func() {
					replies <- d.Do(ctx, Call{Address: addr, Path: "/v1/search", Deadline: start.Add(deadline), MaxBodyBytes: MaxPartBytes})
				}()
			}
			maxHeap := uint64(0)
			for i := range attempts {
				if r := <-replies; r.Fault == gatherer.FaultNone || r.Fault.NotRun() {
					t.Fatalf("endless answer: fault %s, want one after which the attempt may have run", r.Fault)
				}
				if i%10 == 0 {
					maxHeap = max(maxHeap, heapBytes())
				}
			}
			if took := time.Since(start); took > deadline+deadline/2 {
				t.Errorf("the attempts took %s, want at most 1.5 times the deadline", took)
			}
			if maxHeap > heapBefore+2*attempts*MaxPartBytes {
				t.Errorf("heap grew from %d to %d KiB, by more than twice the limits of the answers", heapBefore>>10, maxHeap>>10)
			}
			for end := time.Now().Add(time.Second); open.Load() > 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			if n := open.Load(); n > 0 {
				t.Errorf("%d connections still open 1s after the attempts, want 0", n)
			}
		})
	}
}

// An endless chunked answer must fail, and the buffer of its body must not grow beyond the limit,
// whatever the size of the chunks.
func TestEndlessChunksStayWithinTheLimit(t *testing.T) {
	for _, size := range []int{1, 100, 1024, 4096, 65536, MaxPartBytes - 1} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			go func() {
				defer func() { _ = server.Close() }()
				_, _ = io.ReadFull(server, make([]byte, 1))
				go func() { _, _ = io.Copy(io.Discard, server) }()
				_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
				for err == nil {
					_, err = io.WriteString(server, chunk)
				}
			}()
			req, res := fasthttp.AcquireRequest(), &fasthttp.Response{}
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://searcher/")
			c := newConn(client)
			c.acquire()
			if _, err := c.transfer(req, res, MaxPartBytes); err == nil {
				t.Fatal("endless answer was read without an error")
			}
			if n := cap(res.Body()); n > MaxPartBytes {
				t.Errorf("body buffer has %d bytes, want at most %d", n, MaxPartBytes)
			}
		})
	}
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
