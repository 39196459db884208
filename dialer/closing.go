package dialer

import "time"

// closingConns holds when connections were closed from this side. A searcher that is busy notices the end late and still counts them.
type closingConns struct {
	closedAt []time.Time
	timerSet bool
}

// count returns how many closed connections the searcher may still count.
func (c *closingConns) count(now time.Time) int {
	for len(c.closedAt) > 0 && now.Sub(c.closedAt[0]) >= CloseNoticeDelay {
		c.closedAt = c.closedAt[1:]
	}
	if len(c.closedAt) == 0 {
		c.closedAt = nil
	}
	return len(c.closedAt)
}

// hasRoom reports whether one more connection stays within the budget. Closed ones that may still be counted take places too, but for a few.
func (p *pool) hasRoom(now time.Time) bool {
	limit := p.budget(now)
	spare := 1 + limit/headroomDivisor
	return p.open+max(0, p.closing.count(now)-spare) < limit
}

// closeConn closes a connection; ended says that the searcher did so before and counts it no longer.
func (p *pool) closeConn(c *conn, now time.Time, ended bool) {
	_ = c.Close()
	p.open--
	if !ended {
		p.closing.closedAt = append(p.closing.closedAt, now)
	}
}

// closeOldest closes the idle connection that was unread for longest.
func (p *pool) closeOldest(now time.Time) {
	p.closeConn(p.idle[0], now, false)
	p.idle = p.idle[1:]
}

// admitWaiters lets waiters open connections where there is room, and looks again when the searcher had time to notice the next closed one.
func (p *pool) admitWaiters(now time.Time) {
	for !p.closed && len(p.waiters) > 0 && p.hasRoom(now) {
		p.open++
		p.popWaiter() <- grant{}
	}
	if p.closed || p.closing.timerSet || len(p.waiters) == 0 || p.closing.count(now) == 0 {
		return
	}
	p.closing.timerSet = true
	time.AfterFunc(p.closing.closedAt[0].Add(CloseNoticeDelay).Sub(now), p.retryAdmit)
}

// retryAdmit lets waiters have the places of connections whose end the searcher has noticed.
func (p *pool) retryAdmit() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing.timerSet = false
	p.admitWaiters(now)
}
