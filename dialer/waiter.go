package dialer

import "context"

// waiter is a call that waits for a connection.
type waiter struct {
	granted chan grant  // has room for the one grant
	id      answerID    // a granted connection has not carried it
	allowed func() bool // Call.Allowed; nil allows it
}

// grant ends the wait of a call. It gives it a connection or, if conn is nil, a budget slot in which to open one, unless
// the call is turned back.
type grant struct {
	conn       *conn
	turnedBack bool
}

// wait returns the connection that the waiter is granted.
func (p *pool) wait(ctx context.Context, w *waiter) (*conn, error) {
	select {
	case g := <-w.granted:
		switch {
		case g.turnedBack:
			return nil, errWithheld
		case g.conn != nil:
			return g.conn, nil
		}
		return p.connect(ctx)
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, context.Cause(ctx)
	}
}

// popWaiter removes and returns the first waiter, of which there must be one.
func (p *pool) popWaiter() *waiter {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	return w
}

// cancelWait removes a waiter from the queue, or passes on what it has been granted in the meantime.
func (p *pool) cancelWait(w *waiter) {
	p.mu.Lock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	g := <-w.granted
	switch {
	case g.turnedBack:
	case g.conn == nil:
		p.releaseSlot(true)
	default:
		p.put(g.conn, g.conn.lastRead)
	}
}

// turnBackWaiters ends the wait of the waiters for which the function returns true. The caller holds the lock.
func (p *pool) turnBackWaiters(turnBack func(*waiter) bool) {
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if turnBack(w) {
			w.granted <- grant{turnedBack: true}
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// TurnBackWaiters ends the wait of all calls that Call.Allowed no longer allows, so that their requests go to other
// searchers while they have time left.
func (d *Dialer) TurnBackWaiters() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.mu.Lock()
		p.turnBackWaiters(func(w *waiter) bool { return w.allowed != nil && !w.allowed() })
		p.mu.Unlock()
	}
}
