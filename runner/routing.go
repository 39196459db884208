package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/shedder"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/watcher"
)

func (v *VM) dialerOptions() []dialer.Option {
	options := []dialer.Option{dialer.WithBudget(v.connectionBudget), dialer.WithRetired(v.retired)}
	if v.cfg.Routing != nil {
		options = append(options, dialer.WithWire(platform.Searchers()), dialer.WithCaution(v.isUnsettled))
	}
	return options
}

func (v *VM) observerOptions() []observer.Option {
	if v.cfg.Routing == nil {
		return nil
	}
	return []observer.Option{observer.WithPauses()}
}

func (v *VM) storeOptions() []configurer.Option {
	if v.cfg.Routing == nil {
		return nil
	}
	hold := min(LapseHold, v.cfg.Routing.DrainWithin.Duration-DrainMargin)
	return []configurer.Option{configurer.WithDecode(platform.Decode), configurer.WithHold(hold)}
}

// buildRouting joins the parts that serve callers by routes.
func (v *VM) buildRouting(local netip.Addr) {
	r := v.cfg.Routing
	v.cfg.Links = append(v.cfg.Links, planner.LinksFrom(v.cfg.FailureDomain, r.Regions)...)
	v.storeCalls = platform.NewStore(local, r.Store, func() { v.calls.Add(1) })
	v.follower = &watcher.Follower{
		List: v.storeCalls.List, Watch: v.storeCalls.Watch, Store: v.store, VMs: v.fleet, Changed: v.configured,
		Reader: v.readsStore, Lost: v.tellStoreLost,
	}
	v.scatterer.Windows = limiter.NewWindows(limiter.Allowance{
		Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow.Duration,
	}, v.sharers)
	v.scatterer.Shedder = shedder.NewShedder()
}

// noteOverload logs and counts the services that became overloaded, or no longer are.
func (v *VM) noteOverload() {
	view := v.view.Load()
	for _, c := range v.scatterer.Shedder.Changes(time.Now()) {
		n, ok := int32(0), false
		if view != nil {
			n, ok = view.Service(c.Service)
		}
		if !ok {
			continue
		}
		if c.Overloaded {
			v.counter("services.overloaded").Inc(1)
		}
		s := &view.Services[n]
		klog.InfoS("service: overload", "service", string(c.Service), "overloaded", c.Overloaded, "queue-share", c.Queue, "left-out-share", c.LeftOut,
			"base-ms", c.Base.Milliseconds(), "searchers", len(s.Searchers), "slots", s.Contract.Slots, "revision", uint64(view.Revision))
	}
}

// sharers returns how many VMs are taken to share the fleet's allowances: many, as long as the members may not all be known.
func (v *VM) sharers() int {
	n := max(v.fleet(), v.leastFleet())
	if time.Since(v.started) < LearnPeriod || v.membership.Load().alive <= 1 {
		return max(n, UnknownFleet)
	}
	return n
}

// leastFleet is how many VMs are assumed while the members are not yet known.
func (v *VM) leastFleet() int { return max(MinFleet, len(v.cfg.Peers)) }

// joinRouting asks the store, or else a few peers, for the configuration before the VM serves; the members are learned while it serves.
func (v *VM) joinRouting(ctx context.Context) {
	if v.cfg.Routing.FirstStart && !v.isSeed() && v.joinSeeds(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
	defer cancel()
	if err := v.follower.Step(ctx); err != nil {
		klog.ErrorS(err, "store: cannot be read at the start")
		for _, a := range v.syncSome(ctx, JoinPeers) {
			v.pullFrom(ctx, a)
		}
	}
}

// isSeed reports whether others find the fleet by this VM.
func (v *VM) isSeed() bool { return slices.Contains(*v.peerSeeds.Load(), v.cfg.Advertise) }

// joinSeeds takes the configuration from the VMs by which others find the fleet, and reports whether there was one in time; a whole fleet that starts at once would ask the store as often as it has VMs.
func (v *VM) joinSeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, SeedsTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, a := range v.syncSome(ctx, JoinPeers) {
			v.pullFrom(ctx, a)
			if v.store.Head() > 0 {
				return true
			}
		}
		spawner.Sleep(ctx, SeedsPeriod)
	}
	return false
}

// routeUpkeep trims connections and idle callers once a period.
func (v *VM) routeUpkeep(ctx context.Context) error {
	ticker := time.NewTicker(UpkeepPeriod)
	defer ticker.Stop()
	stage := starting
	for {
		select {
		case <-ticker.C:
			v.renewShares(&stage)
			v.trim()
			v.warm(ctx)
			v.noteOverload()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// warm opens connections to searchers that this VM holds connections to and has none of, a few at a time from a random place, so that a hedge needs not wait for one.
func (v *VM) warm(ctx context.Context) {
	view := v.view.Load()
	if view == nil || len(view.Searchers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, WarmTimeout)
	defer cancel()
	var ends []<-chan error
	offset := rand.IntN(len(view.Searchers))
	for i := range view.Searchers {
		n := (i + offset) % len(view.Searchers)
		s := &view.Searchers[n]
		if len(ends) == WarmAtOnce {
			break
		}
		if !s.Until.IsZero() || s.Health.Ejected(time.Now()) || !v.isHolder(view, int32(n)) || !v.dialer.NeedsWarming(s.Address) {
			continue
		}
		ends = append(ends, spawner.Go(ctx, func(ctx context.Context) error {
			v.dialer.Warm(ctx, s.Address)
			return nil
		}))
	}
	_ = spawner.Wait(ends...)
}

func (v *VM) trim() {
	view := v.view.Load()
	if view == nil {
		return
	}
	keep := make(map[netip.AddrPort]bool, len(view.Searchers))
	for i := range view.Searchers {
		keep[view.Searchers[i].Address] = true
	}
	v.store.Prune(time.Now().Add(-DeletedMemory))
	v.dialer.Trim(keep)
	for i := range view.Searchers {
		if !v.isHolder(view, int32(i)) {
			v.dialer.TrimIdle(view.Searchers[i].Address, ShortIdle)
		}
	}
	known := func(n modeler.ServiceName) bool {
		_, ok := view.Service(n)
		return ok
	}
	v.scatterer.Windows.Keep(known)
	v.scatterer.Shedder.Keep(known)
	if view.Limits != nil {
		v.idle.Close(time.Now(), view.Limits.IdleTimeout.Duration)
	}
}

func (v *VM) serveRoutes(ctx context.Context) error {
	forwards := &server.Forwards{
		Dialect: platform.Callers(), View: v.view.Load, Gather: v.scatterer.Run, Gathered: v.admitter, Single: limiter.NewAdmitter(), Starved: v.scatterer.Starved,
		Quarantine: v.quarantine, Draining: v.draining.Load, Done: v.forwarded,
		Merge: func(parts []scatterer.Part, limit int) []byte {
			return scatterer.MergeRecords(parts, platform.RecordBytes, limit)
		},
	}
	s := server.NewRouteServer(forwards)
	s.ConnState = v.idle.Changed
	return server.Serve(ctx, s, v.callers, v.cfg.Grace.Duration)
}

func (v *VM) serveReady(ctx context.Context) error {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != platform.ReadyPath:
			http.NotFound(w, r)
		case !v.healthy():
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
	return server.Serve(ctx, server.NewHTTPServer(h), v.ready, time.Second)
}

// forwarded counts and logs a request on a route.
func (v *VM) forwarded(f *server.Forwarded) {
	v.counter("forward." + f.Outcome).Inc(1)
	v.histogram("forward.latency-us").Update(f.Took.Microseconds())
	res := &f.Result
	v.counter("attempts.sent").Inc(int64(res.Sent))
	v.counter("attempts.extra").Inc(int64(res.Sent - res.Primaries))
	v.counter("attempts.lost").Inc(int64(res.Lost))
	v.counter("attempts.shed").Inc(int64(res.Shed))
	fields := []any{
		"id", string(f.ID), "route", string(f.Route), "revision", uint64(f.Config), "outcome", f.Outcome, "status", f.Status,
		"took-ms", f.Took.Milliseconds(), "shards", res.Shards, "answered", res.Answered, "sent", res.Sent,
		"faults", res.Faults.String(), "may-have-run", res.MayHaveRun, "left-out", res.LeftOut,
	}
	if f.Status < http.StatusMultipleChoices && f.Outcome == string(server.Complete) {
		klog.InfoS("request: answered", fields...)
		return
	}
	klog.ErrorS(nil, "request: not answered in full", append(fields, "detail", f.Detail, "missing", res.Missing)...)
}
