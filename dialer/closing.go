package dialer

import "time"

// closingConns records when the VM closed connections to a searcher.
// A busy searcher notices a close late and counts the connection against its limit until then.
type closingConns struct {
	closedAt []time.Time
	timerSet bool // retryAdmit is scheduled
}

// count returns how many closed connections the searcher may still count against its limit.
func (c *closingConns) count(now time.Time) int {
	for len(c.closedAt) > 0 && now.Sub(c.closedAt[0]) >= CloseNoticeDelay {
		c.closedAt = c.closedAt[1:]
	}
	if len(c.closedAt) == 0 {
		c.closedAt = nil
	}
	return len(c.closedAt)
}

// hasRoom reports whether one more connection stays within the budget.
// Closed connections that the searcher may still count use up budget too,
// except for the 1 + limit/headroomDivisor that the searcher's headroom covers; see headroomDivisor.
func (p *pool) hasRoom(now time.Time) bool {
	limit := p.budget(now)
	headroom := 1 + limit/headroomDivisor
	return p.open+max(0, p.closing.count(now)-headroom) < limit
}

// closeConn closes a connection. closedByPeer says that the searcher closed it first and no longer counts it.
func (p *pool) closeConn(c *conn, now time.Time, closedByPeer bool) {
	_ = c.Close()
	p.open--
	if !closedByPeer {
		p.closing.closedAt = append(p.closing.closedAt, now)
	}
}

// closeOldest closes the idle connection unread for longest.
func (p *pool) closeOldest(now time.Time) {
	p.closeConn(p.idle[0], now, false)
	p.idle = p.idle[1:]
}

// admitWaiters lets waiters open connections while there is room.
// If waiters remain and closed connections still count, it schedules retryAdmit for when the searcher should have
// noticed the oldest close.
func (p *pool) admitWaiters(now time.Time) {
	for !p.closed && len(p.waiters) > 0 && p.hasRoom(now) {
		p.open++
		p.popWaiter().granted <- grant{}
	}
	if p.closed || p.closing.timerSet || len(p.waiters) == 0 || p.closing.count(now) == 0 {
		return
	}
	p.closing.timerSet = true
	time.AfterFunc(p.closing.closedAt[0].Add(CloseNoticeDelay).Sub(now), p.retryAdmit)
}

// retryAdmit calls admitWaiters after the searcher has had time to notice a closed connection.
func (p *pool) retryAdmit() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing.timerSet = false
	p.admitWaiters(now)
}
