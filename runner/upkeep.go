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

// runUpkeep pings the searchers that this VM may call, trims connections, closes overdue callers and reports evicted ones once every
// UpkeepPeriod, and removes the records of old tickets once every TicketSweepRounds periods.
func (v *VM) runUpkeep(ctx context.Context) error {
	ticker := time.NewTicker(UpkeepPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		v.pingAll(ctx)
		v.intake.CloseOverdue(time.Now(), v.callerTimeouts())
		v.reportEvicted()
		if round%TicketSweepRounds == 0 {
			v.tickets.Sweep(time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runTurnBack turns back the requests that wait for connections to searchers that leave or have asked for no requests,
// once every TurnBackPeriod.
func (v *VM) runTurnBack(ctx context.Context) error {
	ticker := time.NewTicker(TurnBackPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.dialer.TurnBackWaiters()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pingAll pings the searchers that this VM may call, at most MaxConcurrentPings at a time, and drops the connections
// to all other searchers.
func (v *VM) pingAll(ctx context.Context) {
	view := v.view.Load()
	if view == nil {
		return
	}
	keep := map[netip.AddrPort]bool{}
	var results []<-chan error
	for _, s := range v.callableSearchers(view) {
		keep[s.Address] = true
		results = append(results, spawner.Go(ctx, func(ctx context.Context) error {
			v.ping(ctx, s)
			return nil
		}))
		if len(results) == MaxConcurrentPings {
			_ = spawner.Wait(results...)
			results = results[:0]
		}
	}
	_ = spawner.Wait(results...)
	v.dialer.Trim(keep)
}

// callableSearchers returns the searchers that this VM may call: those to whose services it may hold connections, as
// HolderCount says.
func (v *VM) callableSearchers(view *planner.View) []*planner.Searcher {
	var out []*planner.Searcher
	fleet := v.fleetSize()
	for bucket, services := range view.Buckets {
		if v.spreader.HolderCount(bucket, fleet) == 0 {
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

// ping updates a searcher's health from its load endpoint. A failed ping counts as a failed attempt. The answer can
// mark the searcher as draining. It never ends a drain, because only an answer to a request proves that the searcher
// serves again.
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
		s.Health.SetSnapshots(index, ids)
	}
	if load.Draining && s.Health.MarkDraining(now) {
		v.announceDraining(s.Address, "load endpoint")
	}
}

// handleListing applies the platform's list of VMs and of leaving searchers, which lags behind the real state.
func (v *VM) handleListing(l modeler.Listing) {
	before := v.fleetSize()
	v.listing.Store(&l)
	if v.fleetSize() != before {
		v.dialer.Rebudget()
	}
	now := time.Now()
	for _, a := range l.Leaving {
		if v.markDraining(now, a, now) {
			v.announceDraining(a, "platform list")
		}
	}
}

// connectionBudget returns how many connections this VM may hold to an address: the most that it may hold to one of the
// searchers there. It is 1 before the first view is built, and 0 for an address that the view does not have.
func (v *VM) connectionBudget(a netip.AddrPort) int {
	view := v.view.Load()
	if view == nil {
		return 1
	}
	most := 0
	for _, n := range view.SearchersAt(a) {
		most = max(most, v.searcherBudget(view, n))
	}
	return most
}

// searcherBudget returns how many connections this VM may hold to a searcher of the view.
func (v *VM) searcherBudget(view *planner.View, n int32) int {
	service := &view.Services[view.Searchers[n].Service]
	holders := v.spreader.HolderCount(service.Bucket, v.fleetSize())
	if holders == 0 {
		return 0
	}
	if v.cfg.Routing != nil {
		return v.connectionShare(view, n).Limit
	}
	return limiter.Connections(service.Contract.Connections, holders)
}

func (v *VM) recordRetired(a netip.AddrPort, detail string) {
	v.recorder.Record(recorder.Event{Kind: recorder.ConnectionRetired, Detail: a.String() + ": " + detail})
}

func revisionText(p modeler.Position) string {
	text := "revision " + strconv.FormatUint(uint64(p.Revision), 10)
	if p.Epoch > 0 {
		text += " of epoch " + strconv.FormatUint(uint64(p.Epoch), 10)
	}
	return text
}
