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

// startEndlessSearcher starts a server that answers each request with a head and then with the same bytes again and again until the connection is closed; gap is the time between two writes.
func startEndlessSearcher(t *testing.T, head, again string, gap time.Duration) (addr netip.AddrPort, open *atomic.Int64) {
	t.Helper()
	open = &atomic.Int64{}
	bytes := []byte(again) // once: the heap is measured while they are written
	u := startSearcher(t, func(c net.Conn, _ int64) bool {
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
	return u.addr, open
}

// The load: searchers that answer fifty attempts at once with bytes that never end. Each attempt ends as a fault in its time, its connection is closed, and the memory stays within what answers may take.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		attempts = 50
		deadline = time.Second
		ok       = "HTTP/1.1 200 OK\r\n"
	)
	kilobyte := strings.Repeat("x", 1024)
	tests := []struct {
		name  string
		head  string
		again string
		gap   time.Duration
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
			addr, open := startEndlessSearcher(t, tt.head, tt.again, tt.gap)
			d := NewDialer(addr.Addr(), WithBudget(func(netip.AddrPort) int { return attempts }))
			defer d.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			before := heapBytes()
			start := time.Now()
			replies := make(chan Reply, attempts)
			for range attempts {
				go func() {
					replies <- d.Do(ctx, Call{Address: addr, Path: "/v1/search", Deadline: start.Add(deadline), MostBytes: MaxPartBytes})
				}()
			}
			most := uint64(0)
			for i := range attempts {
				if r := <-replies; r.Fault == gatherer.FaultNone || r.Fault.NotRun() {
					t.Fatalf("an answer without end came to %s", r.Fault)
				}
				if i%10 == 0 {
					most = max(most, heapBytes())
				}
			}
			if took := time.Since(start); took > deadline+deadline/2 {
				t.Errorf("took %s", took)
			}
			if most > before+2*attempts*MaxPartBytes {
				t.Errorf("the heap grew from %d to %d kB", before>>10, most>>10)
			}
			for end := time.Now().Add(time.Second); open.Load() > 0 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			if n := open.Load(); n > 0 {
				t.Errorf("%d connections are still open", n)
			}
		})
	}
}

// A chunked answer without end is read into one buffer that never grows beyond the limit, whatever the size of its chunks.
func TestChunksWithoutEndFitTheLimit(t *testing.T) {
	for _, size := range []int{1, 100, 1024, 4096, 65536, MaxPartBytes - 1} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			here, there := net.Pipe()
			defer func() { _ = here.Close() }()
			go func() {
				defer func() { _ = there.Close() }()
				_, _ = io.ReadFull(there, make([]byte, 1))
				go func() { _, _ = io.Copy(io.Discard, there) }()
				_, err := io.WriteString(there, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
				for err == nil {
					_, err = io.WriteString(there, chunk)
				}
			}()
			req, res := fasthttp.AcquireRequest(), &fasthttp.Response{}
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://searcher/")
			c := newConn(here)
			c.acquire()
			if _, err := c.transfer(req, res, MaxPartBytes); err == nil {
				t.Fatal("an answer without end was taken as whole")
			}
			if n := cap(res.Body()); n > MaxPartBytes {
				t.Errorf("its buffer has %d bytes, %d are allowed", n, MaxPartBytes)
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
