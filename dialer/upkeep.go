package dialer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Trim applies the budgets, closes connections idle for longer than IdleLimit,
// and drops the pools of searchers that are not in keep.
func (d *Dialer) Trim(keep map[netip.AddrPort]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for a, p := range d.pools {
		if !keep[a] {
			p.close()
			delete(d.pools, a)
			continue
		}
		p.trim(now, d.budget(a))
	}
}

// TrimIdle closes the connections to a searcher that have been idle for longer than limit.
func (d *Dialer) TrimIdle(a netip.AddrPort, limit time.Duration) {
	if p := d.find(a); p != nil {
		p.trimIdle(d.now(), limit)
	}
}

// HasIdle reports whether the VM has an idle connection to the searcher on which the request may be sent.
func (d *Dialer) HasIdle(a netip.AddrPort, request modeler.RequestID) bool {
	p := d.find(a)
	return p != nil && p.hasIdle(d.wire.answerID(request))
}

// NeedsWarming drops idle connections that the searcher has closed,
// and reports whether none is left and the budget allows another one.
func (d *Dialer) NeedsWarming(a netip.AddrPort) bool { return d.pool(a).needsWarming(d.now()) }

// Warm opens a connection to the searcher and keeps it as idle, unless it is reset at once.
func (d *Dialer) Warm(ctx context.Context, a netip.AddrPort) {
	p := d.pool(a)
	start := d.now()
	c, err := p.take(ctx, start, demand{policy: newOnly})
	if err != nil || !p.survives(ctx, c, d.now().Sub(start)) {
		return
	}
	p.put(c, d.now())
}

// Rebudget applies the budgets at once. It is called when the set of VMs that share a searcher's connections changes.
func (d *Dialer) Rebudget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, p := range d.pools {
		p.trim(d.now(), d.budget(a))
	}
}

// ConnectionCounts returns the number of connections that the VM holds, and of calls that wait for one.
func (d *Dialer) ConnectionCounts() (open, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		o, w := p.size()
		open += o
		waiting += w
	}
	return open, waiting
}

// Close closes all idle connections. Connections in use are closed when their calls end.
func (d *Dialer) Close() { d.Trim(nil) }
