package dialer

import "time"

// closing holds when connections were closed from this side. A searcher that is busy notices the end late and still counts them.
type closing struct {
	since []time.Time
	armed bool
}

// count returns how many closed connections the searcher may still count.
func (c *closing) count(now time.Time) int {
	for len(c.since) > 0 && now.Sub(c.since[0]) >= CloseNotice {
		c.since = c.since[1:]
	}
	if len(c.since) == 0 {
		c.since = nil
	}
	return len(c.since)
}

// hasRoom reports whether one more connection stays within the budget. Closed ones that may still be counted take places too, but for a few.
func (p *pool) hasRoom(now time.Time) bool {
	limit := p.budget(now)
	spare := 1 + limit/closingSpare
	return p.open+max(0, p.closing.count(now)-spare) < limit
}

// hangUp closes a connection; ended says that the searcher did so before and counts it no longer.
func (p *pool) hangUp(c *conn, now time.Time, ended bool) {
	_ = c.Close()
	p.open--
	if !ended {
		p.closing.since = append(p.closing.since, now)
	}
}

// closeOldest closes the idle connection that was unread for longest.
func (p *pool) closeOldest(now time.Time) {
	p.hangUp(p.idle[0], now, false)
	p.idle = p.idle[1:]
}

// admit lets waiters open connections where there is room, and looks again when the searcher had time to notice the next closed one.
func (p *pool) admit(now time.Time) {
	for !p.closed && len(p.waiters) > 0 && p.hasRoom(now) {
		p.open++
		p.firstWaiter() <- grant{}
	}
	if p.closed || p.closing.armed || len(p.waiters) == 0 || p.closing.count(now) == 0 {
		return
	}
	p.closing.armed = true
	time.AfterFunc(p.closing.since[0].Add(CloseNotice).Sub(now), p.closeNoticed)
}

// closeNoticed lets waiters have the places of connections whose end the searcher has noticed.
func (p *pool) closeNoticed() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing.armed = false
	p.admit(now)
}
