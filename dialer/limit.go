package dialer

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// errAtLimit reports that the searcher resets new connections because other clients hold all that it allows.
var errAtLimit = errors.New("the searcher resets new connections")

// connect opens a connection in a budget slot that the caller has taken.
// While the searcher resets new connections, or may do so, a new one must survive a probation before it is used,
// because a request whose connection is reset may have run.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	start := p.now()
	raw, err := p.dial(ctx, p.addr)
	if errors.Is(err, syscall.ECONNRESET) {
		p.recordReset()
		err = errAtLimit
	}
	if err != nil {
		p.releaseSlot(ctx.Err() == nil)
		return nil, err
	}
	c := newConn(raw)
	c.openedAt = p.now()
	if (p.isAtLimit(p.now()) || p.mayReset()) && !p.survives(ctx, c, p.now().Sub(start)) {
		return nil, errAtLimit
	}
	return c, nil
}

// survives reports whether a new connection stays open for a probation: another round trip, in which a reset
// would arrive, and ProbationPeriod. A connection that was reset is closed.
func (p *pool) survives(ctx context.Context, c *conn, roundTrip time.Duration) bool {
	spawner.Sleep(ctx, roundTrip+ProbationPeriod)
	if !c.stale() {
		return true
	}
	p.recordReset()
	p.retire(c, true, time.Time{})
	return false
}

// recordReset records that a new connection was reset, or lost in another way, before a byte of an answer came.
// handleFailure does not call it for a loss after the call's context ended.
func (p *pool) recordReset() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReset = now
}

// isAtLimit reports whether recordReset was called within the last ResetMemory.
func (p *pool) isAtLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastReset.IsZero() && now.Sub(p.lastReset) < ResetMemory
}

// isNew reports whether the connection was opened for the current call.
func (c *conn) isNew() bool { return c.lastRead.IsZero() }

// AtLimit reports whether a new connection to a searcher was reset, or lost in another way before a byte of an answer
// came, within the last ResetMemory. Connections to it that are already open may still be used.
func (d *Dialer) AtLimit(a netip.AddrPort) bool {
	p := d.find(a)
	return p != nil && p.isAtLimit(d.now())
}
