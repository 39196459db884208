package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// pool holds the connections of one VM to one searcher.
type pool struct {
	addr        netip.AddrPort
	dial        func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	now         func() time.Time
	mayReset    func() bool
	mu          sync.Mutex
	idle        []*conn
	open        int
	closing     closingConns
	limit       int
	shrunkAt    time.Time
	waiters     []chan grant
	closed      bool
	minLastRead time.Time
	lastAnswer  time.Time
	lastReset   time.Time // when a new connection was last reset before it carried an answer
}

// grant hands a waiter an idle connection, or the right to open one.
type grant struct{ conn *conn }

// idlePolicy says which idle connections a call may use.
type idlePolicy uint8

const (
	anyIdle    idlePolicy = iota
	provenIdle            // only those read from within ProvenPeriod
	newOnly               // none
)

// take returns a connection within the budget; idle ones that were not read from since the trusted time are closed.
func (p *pool) take(ctx context.Context, now, trusted time.Time, t idlePolicy) (*conn, error) {
	p.mu.Lock()
	if trusted.After(p.minLastRead) {
		p.minLastRead = trusted
	}
	if c := p.takeIdle(now, t); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.hasRoom(now) {
		p.open++
		p.mu.Unlock()
		return p.connect(ctx)
	}
	w := make(chan grant, 1)
	p.waiters = append(p.waiters, w)
	p.admitWaiters(now)
	p.mu.Unlock()
	select {
	case g := <-w:
		if g.conn != nil {
			return g.conn, nil
		}
		return p.connect(ctx)
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, context.Cause(ctx)
	}
}

// takeIdle returns the idle connection read from last, and closes those that are stale or not trusted.
func (p *pool) takeIdle(now time.Time, t idlePolicy) *conn {
	if t == newOnly {
		p.makeRoom(now)
		return nil
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		unproven := t == provenIdle && now.Sub(c.lastRead) > ProvenPeriod
		stale := c.stale()
		if !unproven && !c.lastRead.Before(p.minLastRead) && !stale {
			return c
		}
		p.closeConn(c, now, stale)
	}
	return nil
}

// makeRoom closes the idle connection that was unread for longest if the budget has no room for a new one.
func (p *pool) makeRoom(now time.Time) {
	if len(p.idle) == 0 || p.open < p.budget(now) {
		return
	}
	p.closeOldest(now)
}

func (p *pool) budget(now time.Time) int {
	if now.Sub(p.shrunkAt) < ShrinkPeriod {
		return max(1, p.limit-1)
	}
	return p.limit
}

// put gives a healthy connection to the first waiter, or keeps it.
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
	if w := p.popWaiter(); w != nil {
		w <- grant{c}
		return
	}
	p.idle = append(p.idle, c)
}

// putUnused gives back a connection on which nothing was sent.
func (p *pool) putUnused(c *conn) {
	since := c.lastRead
	if c.isNew() {
		since = p.now()
	}
	p.put(c, since)
}

// retire closes a connection in use, which the searcher may have ended before; after a silent one, no idle connection is trusted that was not read from since.
func (p *pool) retire(c *conn, ended bool, silentSince time.Time) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if silentSince.After(p.minLastRead) {
		p.minLastRead = silentSince
	}
	p.closeConn(c, now, ended)
	p.admitWaiters(now)
}

// releaseSlot gives back the place of a connection that was not opened; one given up meanwhile may have reached the searcher.
func (p *pool) releaseSlot(refused bool) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if !refused {
		p.closing.closedAt = append(p.closing.closedAt, now)
	}
	p.admitWaiters(now)
}

func (p *pool) shrink(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shrunkAt = now
}

func (p *pool) popWaiter() chan grant {
	if len(p.waiters) == 0 {
		return nil
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	return w
}

// cancelWait takes a waiter out of the line, or passes on what it was granted meanwhile.
func (p *pool) cancelWait(w chan grant) {
	p.mu.Lock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	g := <-w
	if g.conn == nil {
		p.releaseSlot(true)
		return
	}
	p.put(g.conn, g.conn.lastRead)
}

// answeredSince reports whether another connection was read from after the time.
func (p *pool) answeredSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer.After(t)
}

func (p *pool) needsWarming(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.idle[len(p.idle)-1].stale() {
		p.closeConn(p.idle[len(p.idle)-1], now, true)
		p.idle = p.idle[:len(p.idle)-1]
	}
	return len(p.idle) == 0 && p.hasRoom(now)
}

func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// trimIdle closes connections idle for longer than the limit.
func (p *pool) trimIdle(now time.Time, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastRead) > limit {
		p.closeOldest(now)
	}
}

// trim closes idle connections beyond the limit or idle for longer than IdleLimit, and returns whether one is left.
func (p *pool) trim(now time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for len(p.idle) > 0 && (p.open > limit || now.Sub(p.idle[0].lastRead) > IdleLimit) {
		p.closeOldest(now)
	}
	return p.open > 0
}

// oldestIdle takes out the idle connection that was unread for longest, if for longer than ProvenPeriod.
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
