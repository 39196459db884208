package dialer

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// errAtLimit says that the searcher resets new connections, for others hold all that it allows.
var errAtLimit = errors.New("the searcher resets new connections")

// connect opens a connection in a place of the budget. While the searcher resets new ones, or may do so, it is used only once it has stayed open for a moment: a request that is reset with its connection may have run.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	began := p.now()
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
	if (p.isAtLimit(p.now()) || p.mayReset()) && !p.survives(ctx, c, p.now().Sub(began)) {
		return nil, errAtLimit
	}
	return c, nil
}

// survives reports whether a new connection stays open for as long as a reset takes to come, which is another round trip; one that does not is given up.
func (p *pool) survives(ctx context.Context, c *conn, roundTrip time.Duration) bool {
	spawner.Sleep(ctx, roundTrip+ProbationPeriod)
	if !c.stale() {
		return true
	}
	p.recordReset()
	p.retire(c, true, time.Time{})
	return false
}

// recordReset notes that the searcher reset a new connection.
func (p *pool) recordReset() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReset = now
}

// isAtLimit reports whether the searcher reset a new connection lately.
func (p *pool) isAtLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lastReset.IsZero() && now.Sub(p.lastReset) < ResetMemory
}

// isNew reports whether nothing was ever read from the connection.
func (c *conn) isNew() bool { return c.lastRead.IsZero() }

// AtLimit reports whether a searcher lately reset new connections; those that are open may still be used.
func (d *Dialer) AtLimit(a netip.AddrPort) bool {
	p := d.find(a)
	return p != nil && p.isAtLimit(d.now())
}
