package dialer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// sharedIDWire is NativeWire with answers that name their request, not their attempt.
func sharedIDWire() Wire {
	w := NativeWire()
	w.SharedID = true
	return w
}

// Guards against taking one attempt's answer for another's: the second attempt for a request at an address has a connection
// of its own, even if the budget is a single one, while another request uses the open one.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	for _, budget := range []int{1, 2} {
		s := startSearcher(t, answers)
		d := newTestDialer(t, budget)
		d.wire = sharedIDWire()
		do := func(id modeler.RequestID) ConnUse {
			c := call(s)
			c.Request = id
			r := d.Do(t.Context(), c)
			if r.Err != nil {
				t.Fatalf("budget %d: %v", budget, r.Err)
			}
			return r.Use
		}
		first, again, other := do("r1"), do("r1"), do("r2")
		if first.Local == again.Local {
			t.Errorf("budget %d: both attempts for a request were sent on the connection from %v", budget, first.Local)
		}
		if other.Local != again.Local || other.Number != 2 {
			t.Errorf("budget %d: another request was sent as %v, want the second use of the connection from %v", budget, other, again.Local)
		}
		if open, _ := d.ConnectionCounts(); open > budget {
			t.Errorf("%d connections are open, want %d at most", open, budget)
		}
		if d.HasIdle(s.addr, "r2") && budget == 1 {
			t.Error("the only connection counts as usable for a request that it has carried")
		}
	}
}

// Guards against a connection that is passed straight to a waiting attempt for the request that it has just carried, and
// against an attempt that waits for ever then.
func TestWaitingAttemptGetsAConnectionOfItsOwn(t *testing.T) {
	release := make(chan struct{})
	s := startSearcher(t, func(c net.Conn, n int64) bool {
		if n == 1 {
			<-release
		}
		return answers(c, n)
	})
	d := newTestDialer(t, 1)
	d.wire = sharedIDWire()
	uses := make(chan ConnUse, 3)
	for i, id := range []modeler.RequestID{"r1", "r1", "r2"} {
		c := call(s)
		c.Request = id
		go func() { uses <- d.Do(t.Context(), c).Use }()
		waitFor(t, "the call is sent or waits", func() bool { _, n := d.ConnectionCounts(); return s.requests.Load() == 1 && n == i })
	}
	close(release)
	seen := map[ConnUse]bool{}
	for range 3 {
		u := <-uses
		if u.Number == 0 || seen[u] {
			t.Errorf("use %v, want three different ones", u)
		}
		seen[u] = true
	}
	if open, waiting := d.ConnectionCounts(); open > 1 || waiting > 0 {
		t.Errorf("%d connections are open and %d calls wait, want one and none", open, waiting)
	}
}

// callWaiting is a call of poolModel that has not got its connection yet.
type callWaiting struct {
	id     answerID
	cancel context.CancelFunc
	got    chan *conn // nil if the call stopped waiting
}

// poolModel makes calls on a pool and keeps count of what its connections carry.
type poolModel struct {
	*pool
	t       *rapid.T
	clock   atomic.Int64 // Unix time in milliseconds
	carried map[*conn]map[answerID]bool
	inUse   []*conn
	waits   []callWaiting
}

func newPoolModel(t *rapid.T) *poolModel {
	m := &poolModel{t: t, carried: map[*conn]map[answerID]bool{}}
	m.pool = &pool{limit: rapid.IntRange(1, 3).Draw(t, "budget"), now: m.time, mayReset: func() bool { return false }}
	m.dial = func(context.Context, netip.AddrPort) (net.Conn, error) { c, _ := net.Pipe(); return c, nil }
	return m
}

func (m *poolModel) time() time.Time { return time.UnixMilli(m.clock.Load()) }

// begin makes a call that takes a connection.
func (m *poolModel) begin(id answerID, policy idlePolicy) {
	ctx, cancel := context.WithCancel(m.t.Context())
	w := callWaiting{id, cancel, make(chan *conn, 1)}
	go func() {
		c, _ := m.take(ctx, m.time(), demand{policy: policy, id: id})
		w.got <- c
	}()
	m.waits = append(m.waits, w)
}

// end ends the first call with a connection: the pool gets that back, or it is closed.
func (m *poolModel) end(finish func(*conn)) {
	if len(m.inUse) == 0 {
		return
	}
	finish(m.inUse[0])
	m.inUse = m.inUse[1:]
}

// settle waits until each call has its connection, has stopped waiting, or waits in the pool.
func (m *poolModel) settle() {
	m.retryAdmit()
	for {
		m.waits = slices.DeleteFunc(m.waits, func(w callWaiting) bool {
			select {
			case c := <-w.got:
				m.use(c, w.id)
				return true
			default:
				return false
			}
		})
		open, waiting := m.size()
		if open > m.limit {
			m.t.Fatalf("%d connections are open, want %d at most", open, m.limit)
		}
		if waiting == len(m.waits) {
			return
		}
		runtime.Gosched()
	}
}

func (m *poolModel) use(c *conn, id answerID) {
	if c == nil {
		return
	}
	if m.carried[c][id] {
		m.t.Fatalf("a connection carries request %d twice", id)
	}
	if m.carried[c] == nil {
		m.carried[c] = map[answerID]bool{}
	}
	m.carried[c][id] = true
	c.carried.add(id)
	m.inUse = append(m.inUse, c)
}

// Calls for a few requests take connections, put them back, close them or stop waiting in any order. No connection may carry
// a request twice, the budget must hold, and every call must get a connection in the end.
func TestNoConnectionCarriesARequestTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.clock.Add(rapid.Int64Range(0, 200).Draw(t, "ms"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				m.begin(answerID(rapid.IntRange(1, 3).Draw(t, "request")), rapid.SampledFrom([]idlePolicy{anyIdle, provenIdle, newOnly}).Draw(t, "policy"))
			case 1:
				m.end(func(c *conn) { m.put(c, m.time()) })
			case 2:
				m.end(func(c *conn) { m.retire(c, false, time.Time{}) })
			case 3:
				if len(m.waits) > 0 {
					m.waits[0].cancel()
				}
			}
			m.settle()
		}
		for range 2 * (len(m.waits) + len(m.inUse) + 1) {
			m.clock.Add(CloseNoticeDelay.Milliseconds())
			m.end(func(c *conn) { m.put(c, m.time()) })
			m.settle()
		}
		if n := len(m.waits); n > 0 {
			t.Fatalf("%d calls still wait though no connection is in use", n)
		}
	})
}

// Guards against an id that is forgotten while a copy of its answer may still come, and against memory that grows for as long
// as a connection lives.
func TestLatestIDsAreRemembered(t *testing.T) {
	var c carriedIDs
	for id := answerID(1); id <= 1000; id++ {
		c.add(id)
		for ago := range answerID(min(uint64(id), maxCarriedIDs)) {
			if !c.contains(id - ago) {
				t.Fatalf("id %d is forgotten after %d others", id-ago, ago)
			}
		}
	}
	if c.contains(0) {
		t.Error("an attempt with an id of its own counts as carried")
	}
}
