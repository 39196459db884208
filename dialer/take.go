package dialer

import (
	"context"
	"slices"
	"time"
)

// idlePolicy selects the idle connections that a call may use.
type idlePolicy uint8

const (
	anyIdle    idlePolicy = iota
	provenIdle            // only those read from within ProvenPeriod
	newOnly               // none; while waiting for the budget, a call still gets a connection that is put back
)

// demand is what a call needs of a connection.
type demand struct {
	policy      idlePolicy
	minLastRead time.Time   // idle connections of the pool last read before this are closed instead of used
	id          answerID    // the connection may not have carried it
	allowed     func() bool // Call.Allowed; nil allows it
}

// take returns a connection within the budget, and waits for one if needed, as long as the demand's allowed says so.
func (p *pool) take(ctx context.Context, now time.Time, d demand) (*conn, error) {
	p.mu.Lock()
	if d.minLastRead.After(p.minLastRead) {
		p.minLastRead = d.minLastRead
	}
	if c := p.takeIdle(now, d); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.hasRoom(now) {
		p.open++
		p.mu.Unlock()
		return p.connect(ctx)
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errWithheld
	}
	w := &waiter{granted: make(chan grant, 1), id: d.id, allowed: d.allowed}
	p.waiters = append(p.waiters, w)
	p.admitWaiters(now)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

// takeIdle returns the idle connection put back last that meets the demand. It closes those that it passes over because
// they are stale, unproven or last read before minLastRead; those that have carried the demand's id stay. If there is none,
// it returns nil and makes room for a new one.
func (p *pool) takeIdle(now time.Time, d demand) *conn {
	if d.policy == newOnly {
		p.makeRoom(now)
		return nil
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		unproven := d.policy == provenIdle && now.Sub(c.lastRead) > ProvenPeriod
		stale := c.stale()
		usable := !unproven && !c.lastRead.Before(p.minLastRead) && !stale
		if usable && c.carried.contains(d.id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable {
			return c
		}
		p.closeConn(c, now, stale)
	}
	p.makeRoom(now)
	return nil
}

// makeRoom closes the idle connection unread for longest if the budget has no room for a new one.
func (p *pool) makeRoom(now time.Time) {
	if len(p.idle) == 0 || p.open < p.budget(now) {
		return
	}
	p.closeOldest(now)
}
