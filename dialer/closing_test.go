package dialer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A busy searcher notices a closed connection only when the request on it ends; until then the connection counts against
// the searcher's limit. Calls that give up early must not lead to more connections than the budget plus its headroom.
func TestClosedConnectionsCountUntilNoticed(t *testing.T) {
	const (
		budget      = 8
		waves       = 6
		serviceTime = 40 * time.Millisecond
		timeout     = 5 * time.Millisecond
		maxOpen     = budget + 1
		interval    = 10 * time.Millisecond
	)
	s := startSearcher(t, func(c net.Conn, n int64) bool {
		time.Sleep(serviceTime)
		return answers(c, n)
	})
	d := newTestDialer(t, budget)
	var calls sync.WaitGroup
	for range waves {
		for range budget {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				d.Do(ctx, call(s))
			})
		}
		time.Sleep(interval)
	}
	calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxOpen > maxOpen {
		t.Errorf("searcher had %d connections at once, want at most %d", s.maxOpen, maxOpen)
	}
}

// A call that waits because closed connections still count against the budget gets a connection
// once CloseNoticeDelay is over.
func TestWaiterGetsTheSlotOfAClosedConnection(t *testing.T) {
	var answering atomic.Bool
	s := startSearcher(t, func(c net.Conn, n int64) bool {
		if !answering.Load() {
			time.Sleep(CloseNoticeDelay / 2)
			return false
		}
		return answers(c, n)
	})
	d := newTestDialer(t, 2)
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), CloseNoticeDelay/4)
			defer cancel()
			d.Do(ctx, call(s))
		})
	}
	calls.Wait()
	answering.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 10*CloseNoticeDelay)
	defer cancel()
	for range 3 {
		calls.Go(func() {
			if r := d.Do(ctx, call(s)); r.Err != nil {
				t.Errorf("call after CloseNoticeDelay: %v", r.Err)
			}
		})
	}
	calls.Wait()
}
