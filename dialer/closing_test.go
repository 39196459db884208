package dialer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A searcher that is busy notices a closed connection only when its request ends; until then it counts against the searcher's limit.
func TestClosedConnectionsCountUntilNoticed(t *testing.T) {
	const (
		budget  = 8
		waves   = 6
		busy    = 40 * time.Millisecond
		giveUp  = 5 * time.Millisecond
		atMost  = budget + 1
		between = 10 * time.Millisecond
	)
	u := startSearcher(t, func(c net.Conn, n int64) bool {
		time.Sleep(busy)
		return answers(c, n)
	})
	d := newTestDialer(t, budget)
	var calls sync.WaitGroup
	for range waves {
		for range budget {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), giveUp)
				defer cancel()
				d.Do(ctx, call(u))
			})
		}
		time.Sleep(between)
	}
	calls.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.maxOpen > atMost {
		t.Errorf("the searcher saw %d connections at once, at most %d are allowed", u.maxOpen, atMost)
	}
}

// A call that waits for the place of a closed connection gets it once the searcher had time to notice.
func TestWaiterGetsTheSlotOfAClosedConnection(t *testing.T) {
	var awake atomic.Bool
	u := startSearcher(t, func(c net.Conn, n int64) bool {
		if !awake.Load() {
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
			d.Do(ctx, call(u))
		})
	}
	calls.Wait()
	awake.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 10*CloseNoticeDelay)
	defer cancel()
	for range 3 {
		calls.Go(func() {
			if r := d.Do(ctx, call(u)); r.Err != nil {
				t.Errorf("no connection after the closed ones were noticed: %v", r.Err)
			}
		})
	}
	calls.Wait()
}
