package dialer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// pool holds the connections of one VM to one searcher.
type pool struct {
	addr        netip.AddrPort
	dial        func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	now         func() time.Time
	mayReset    func() bool // see Dialer.mayReset
	mu          sync.Mutex
	idle        []*conn // the one returned last is at the end
	open        int     // budget slots in use: connections that are open or being opened
	closing     closingConns
	limit       int
	shrunkAt    time.Time
	waiters     []*waiter
	closed      bool
	minLastRead time.Time // idle connections last read before this are closed instead of used
	lastAnswer  time.Time // when a connection was last answered on, or a new one was last kept
	lastReset   time.Time // when recordReset was last called
}

// budget returns the limit of connections, reduced by one for ShrinkPeriod after the searcher refused a connection.
func (p *pool) budget(now time.Time) int {
	if now.Sub(p.shrunkAt) < ShrinkPeriod {
		return max(1, p.limit-1)
	}
	return p.limit
}

// put gives a healthy connection to the first waiter, or keeps it as idle. It closes the connection instead if the pool
// is closed or holds more connections than the budget, or if the connection has carried the waiter's id: the waiter then
// opens a new one. It sets the connection's lastRead to now.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.release()
	c.lastRead = now
	if now.After(p.lastAnswer) {
		p.lastAnswer = now
	}
	if p.closed || p.open > p.budget(now) {
		p.closeConn(c, now, false)
		return
	}
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	if c.carried.contains(p.waiters[0].id) {
		p.closeConn(c, now, false)
		p.admitWaiters(now)
		return
	}
	p.popWaiter().granted <- grant{conn: c}
}

// putUnused puts back a connection on which nothing was sent. Its lastRead stays, unless the connection is new.
func (p *pool) putUnused(c *conn) {
	lastRead := c.lastRead
	if c.isNew() {
		lastRead = p.now()
	}
	p.put(c, lastRead)
}

// retire closes a connection in use. closedByPeer says that the searcher closed it first.
// After a silent connection, minLastRead keeps idle connections that were last read before it from being used.
func (p *pool) retire(c *conn, closedByPeer bool, minLastRead time.Time) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if minLastRead.After(p.minLastRead) {
		p.minLastRead = minLastRead
	}
	p.closeConn(c, now, closedByPeer)
	p.admitWaiters(now)
}

// releaseSlot returns the budget slot of a connection that was not opened.
// If unopened is true, the searcher has no such connection. If it is false, opening was given up and may have reached
// the searcher, so it counts as a connection that the VM closed.
func (p *pool) releaseSlot(unopened bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if !unopened {
		p.closing.closedAt = append(p.closing.closedAt, now)
	}
	p.admitWaiters(now)
}

// shrink reduces the budget by one for ShrinkPeriod.
func (p *pool) shrink(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shrunkAt = now
}

// answeredSince reports whether another connection was answered on, or newly kept as idle, after the time.
func (p *pool) answeredSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer.After(t)
}

// needsWarming implements Dialer.NeedsWarming.
func (p *pool) needsWarming(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.idle[len(p.idle)-1].stale() {
		p.closeConn(p.idle[len(p.idle)-1], now, true)
		p.idle = p.idle[:len(p.idle)-1]
	}
	return len(p.idle) == 0 && p.hasRoom(now)
}

// hasIdle reports whether an idle connection has not carried the id.
func (p *pool) hasIdle(id answerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *conn) bool { return !c.carried.contains(id) })
}

// trimIdle closes connections that have been idle for longer than limit.
func (p *pool) trimIdle(now time.Time, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastRead) > limit {
		p.closeOldest(now)
	}
}

// trim sets the limit, closes idle connections beyond it or idle for longer than IdleLimit,
// and reports whether any connection, idle or in use, is still open or being opened.
func (p *pool) trim(now time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for len(p.idle) > 0 && (p.open > limit || now.Sub(p.idle[0].lastRead) > IdleLimit) {
		p.closeOldest(now)
	}
	return p.open > 0
}

// oldestIdle removes and returns the idle connection unread for longest. It returns nil if there is none, or if that
// connection was read from less than ProvenPeriod ago.
func (p *pool) oldestIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 || now.Sub(p.idle[0].lastRead) < ProvenPeriod {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.turnBackWaiters(func(*waiter) bool { return true })
	for _, c := range p.idle {
		_ = c.Close()
		p.open--
	}
	p.idle = nil
}

func (p *pool) size() (open, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.waiters)
}
