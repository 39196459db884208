package runner

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// upkeep pings the searchers that this VM may call, trims connections and forgets old tickets, once a period.
func (v *VM) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(UpkeepPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		v.pingAll(ctx)
		if round%TicketsPeriod == 0 {
			v.home.Sweep(time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (v *VM) pingAll(ctx context.Context) {
	view := v.view.Load()
	if view == nil {
		return
	}
	keep := map[netip.AddrPort]bool{}
	var ends []<-chan error
	for _, s := range v.held(view) {
		keep[s.Address] = true
		ends = append(ends, spawner.Go(ctx, func(ctx context.Context) error {
			v.ping(ctx, s)
			return nil
		}))
		if len(ends) == PingsAtOnce {
			_ = spawner.Wait(ends...)
			ends = ends[:0]
		}
	}
	_ = spawner.Wait(ends...)
	v.dialer.Trim(keep)
}

// held returns the searchers to which this VM may hold connections.
func (v *VM) held(view *planner.View) []*planner.Searcher {
	var out []*planner.Searcher
	fleet := v.fleet()
	for bucket, services := range view.Buckets {
		if v.spread.Holders(bucket, fleet) == 0 {
			continue
		}
		for _, n := range services {
			for _, r := range view.Services[n].Searchers {
				out = append(out, &view.Searchers[r])
			}
		}
	}
	return out
}

// ping learns from the load endpoint; what the searcher says in band outweighs it.
func (v *VM) ping(ctx context.Context, s *planner.Searcher) {
	load, err := v.dialer.Ping(ctx, s.Address, PingTimeout)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		s.Health.Begin(now)
		s.Health.Failed(now, false)
		return
	}
	for index, ids := range load.Held {
		s.Health.Holds(index, ids)
	}
	if load.Draining && s.Health.Drain(now) {
		v.tellDraining(s.Address, "load endpoint")
	}
}

// listed takes in the platform's lagging list.
func (v *VM) listed(l modeler.Listing) {
	before := v.fleet()
	v.listing.Store(&l)
	if v.fleet() != before {
		v.dialer.Rebudget()
	}
	now := time.Now()
	for _, a := range l.Leaving {
		if v.observer.Searcher(a).Drain(now) {
			v.tellDraining(a, "platform list")
		}
	}
}

// connectionBudget returns how many connections this VM may hold to the searcher at the address.
func (v *VM) connectionBudget(a netip.AddrPort) int {
	view := v.view.Load()
	if view == nil {
		return 1
	}
	n, ok := view.At(a)
	if !ok {
		return 0
	}
	service := &view.Services[view.Searchers[n].Service]
	holders := v.spread.Holders(service.Bucket, v.fleet())
	if holders == 0 {
		return 0
	}
	if v.cfg.Routing != nil {
		return v.share(view, n).Limit
	}
	return limiter.Connections(service.Contract.Connections, holders)
}

func (v *VM) retired(a netip.AddrPort, detail string) {
	v.recorder.Record(recorder.Event{Kind: recorder.ConnectionRetired, Detail: a.String() + ": " + detail})
}

func revisionText(r modeler.Revision) string { return "revision " + strconv.FormatUint(uint64(r), 10) }
