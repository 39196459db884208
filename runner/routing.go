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
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/shedder"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/watcher"
)

func (v *VM) dialerOptions() []dialer.Option {
	options := []dialer.Option{
		dialer.WithBudget(v.connectionBudget), dialer.WithOnRetired(v.recordRetired), dialer.WithAnswerMemory(v.cfg.Resources.Bytes() / AnswerDivisor),
	}
	if v.cfg.Routing != nil {
		options = append(options, dialer.WithWire(platform.SearcherWire()), dialer.WithProbation(v.isUnsettled))
	}
	return options
}

// observerOptions makes the observer of a VM that serves routes expect pauses of searchers. Pauses of this process are
// handled by handlePause.
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
	hold := min(MaxRegistrationHold, v.cfg.Routing.DrainWithin.Duration-DrainMargin)
	return []configurer.Option{
		configurer.WithDecode(platform.Decode), configurer.WithHold(hold, v.cfg.Routing.DrainWithin.Duration),
		configurer.WithConfirmedAt(func() time.Time { return v.gossip.ConfirmedAt() }),
	}
}

// buildRouting builds the parts that only a VM that serves routes has.
func (v *VM) buildRouting(local netip.Addr) {
	r := v.cfg.Routing
	v.cfg.Links = append(v.cfg.Links, planner.LinksFrom(v.cfg.FailureDomain, r.Regions)...)
	v.storeClient = platform.NewStore(local, r.Store, func() { v.platformCalls.Add(1) })
	v.follower = &watcher.Follower{
		List: v.storeClient.List, Watch: v.storeClient.Watch, Store: v.store, Changed: v.applyRead, Confirm: func(at time.Time) { v.gossip.Confirm(at) },
		Listed:   v.countList,
		IsReader: v.isStoreReader, OnStepFailed: v.announceStoreLoss,
	}
	v.scatterer.Windows = v.newWindows()
	v.scatterer.Shedder = shedder.NewShedder()
}

// countList counts a whole list of the store, and the values in it that were older than what this VM held.
func (v *VM) countList(res configurer.Result) {
	v.counter("store.lists").Inc(1)
	v.counter("store.values-older").Inc(int64(res.Older))
}

// newWindows returns the windows that bound the extra attempts of this VM.
func (v *VM) newWindows() *limiter.Windows {
	r := v.cfg.Routing
	var options []limiter.WindowsOption
	if !r.FirstStart {
		options = append(options, limiter.WithRestart(v.startedAt))
	}
	return limiter.NewWindows(limiter.Allowance{
		Ratio: r.RetryRatio, Slack: r.RetrySlack, Window: r.RetryWindow.Duration,
	}, v.spenderCount, options...)
}

// reportDenied counts the extra attempts that the allowances of the services did not permit, and logs them in one line
// with the service that was denied most.
func (v *VM) reportDenied() {
	denied := v.scatterer.Windows.TakeDenied()
	if len(denied) == 0 {
		return
	}
	total, most := 0, modeler.ServiceName("")
	for service, n := range denied {
		total += n
		if n > denied[most] {
			most = service
		}
	}
	v.counter("attempts.denied").Inc(int64(total))
	klog.InfoS("attempt: extra ones denied", "count", total, "services", len(denied), "most-at", string(most), "most", denied[most],
		"fleet", v.spenderCount(), "up-ms", time.Since(v.startedAt).Milliseconds())
}

// reportOverload logs each service that became overloaded or recovered, and counts those that became overloaded.
func (v *VM) reportOverload() {
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
		klog.InfoS("service: overload", "service", string(c.Service), "overloaded", c.Overloaded, "queue-share", c.QueueShare, "left-out-share", c.LeftOutShare,
			"base-ms", c.Base.Milliseconds(), "searchers", len(s.Searchers), "slots", s.Contract.Slots, "revision", uint64(view.Position.Revision))
	}
}

// spenderCount returns how many VMs share the slack of the fleet's allowances. A VM that is cut off still sends, and what
// one has sent before it died or left still counts.
func (v *VM) spenderCount() int {
	return max(v.sharerCount(), len(v.membership.Load().recent))
}

// sharerCount returns how many VMs share the searchers' connections. It assumes at least UnknownFleetSize VMs while the
// members may not all be known.
func (v *VM) sharerCount() int {
	n := max(v.fleetSize(), v.minFleetSize())
	if time.Since(v.startedAt) < LearnPeriod || v.membership.Load().liveCount <= 1 {
		return max(n, UnknownFleetSize)
	}
	return n
}

// minFleetSize returns the smallest fleet size that sharerCount assumes.
func (v *VM) minFleetSize() int { return max(MinFleetSize, len(v.cfg.Peers)) }

// joinRouting reads the configuration from the store, or from a few peers if that fails, before the VM serves.
// The read and the peers share one JoinTimeout: if the read takes all of it, no peer is asked. The members become known
// while the VM serves. On the first start of a fleet, VMs that are not seeds call joinThroughSeeds first.
func (v *VM) joinRouting(ctx context.Context) {
	if v.cfg.Routing.FirstStart && !v.isSeed() && v.joinThroughSeeds(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
	defer cancel()
	if err := v.follower.Step(ctx); err != nil {
		klog.ErrorS(err, "store: cannot be read at the start")
		for _, a := range v.syncWithPeers(ctx, MaxJoinPeers) {
			v.pullFrom(ctx, a)
		}
	}
}

// isSeed reports whether this VM is among the peers in the settings, by which other VMs find the fleet.
func (v *VM) isSeed() bool { return slices.Contains(*v.peerSeeds.Load(), v.cfg.Advertise) }

// joinThroughSeeds takes the configuration from another VM, and reports whether one had it within SeedTimeout. It asks
// the seeds and any other members that it knows by then. Without it, every VM of a fleet that starts at once would
// read the store.
func (v *VM) joinThroughSeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, SeedTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, a := range v.syncWithPeers(ctx, MaxJoinPeers) {
			v.pullFrom(ctx, a)
			if !v.store.Head().IsZero() {
				return true
			}
		}
		spawner.Sleep(ctx, SeedRetryPeriod)
	}
	return false
}

// runRouteUpkeep refreshes the connection shares, trims connections to searchers, closes overdue ones of callers, warms
// connections and reports overload, denied attempts and searchers that are no longer excluded, once every UpkeepPeriod.
func (v *VM) runRouteUpkeep(ctx context.Context) error {
	ticker := time.NewTicker(UpkeepPeriod)
	defer ticker.Stop()
	phase := starting
	for {
		select {
		case <-ticker.C:
			v.refreshShares(&phase)
			v.trim()
			v.settleRegistrations(time.Now())
			v.intake.CloseOverdue(time.Now(), v.callerTimeouts())
			v.warm(ctx)
			v.reportOverload()
			v.reportDenied()
			v.reportEvicted()
			v.reportEndedExclusions(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// warm opens connections to searchers to which this VM may keep connections but has no free one, so that a hedge need
// not wait for a new connection. It skips searchers that are ejected, leaving, or have asked for no requests. It opens at most
// MaxConcurrentWarms at a time and starts from a random searcher.
func (v *VM) warm(ctx context.Context) {
	view := v.view.Load()
	if view == nil || len(view.Searchers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, WarmTimeout)
	defer cancel()
	var results []<-chan error
	offset := rand.IntN(len(view.Searchers))
	for i := range view.Searchers {
		n := (i + offset) % len(view.Searchers)
		s := &view.Searchers[n]
		if len(results) == MaxConcurrentWarms {
			break
		}
		if !s.Health.Connectable(time.Now()) || !v.isHolder(view, int32(n)) || !v.dialer.NeedsWarming(s.Address) {
			continue
		}
		results = append(results, spawner.Go(ctx, func(ctx context.Context) error {
			v.dialer.Warm(ctx, s.Address)
			return nil
		}))
	}
	_ = spawner.Wait(results...)
}

// trim closes connections to searchers that this VM may not keep. It drops keys that
// were deleted longer than DeletedKeyRetention ago, and the state of services that the view no longer has.
func (v *VM) trim() {
	view := v.view.Load()
	if view == nil {
		return
	}
	keep := make(map[netip.AddrPort]bool, len(view.Searchers))
	for i := range view.Searchers {
		keep[view.Searchers[i].Address] = true
	}
	v.store.Prune(time.Now().Add(-DeletedKeyRetention))
	v.dialer.Trim(keep)
	for a := range keep {
		if !slices.ContainsFunc(view.SearchersAt(a), func(n int32) bool { return v.isHolder(view, n) }) {
			v.dialer.TrimIdle(a, NonHolderIdleTimeout)
		}
	}
	known := func(n modeler.ServiceName) bool {
		_, ok := view.Service(n)
		return ok
	}
	v.scatterer.Windows.SetServices(time.Now(), view.ServiceNames())
	v.scatterer.Shedder.Keep(known)
}

// settleRegistrations decides on the registrations that the last return of the store from an older copy left open.
func (v *VM) settleRegistrations(now time.Time) {
	if res := v.store.ReleaseCopied(now); res.Changed() {
		klog.InfoS("configuration: registrations of an older copy are in force", "count", res.Replaced)
		v.applyRead(res)
	}
	if res := v.store.HoldMissing(now, UpkeepPeriod); res.Changed() {
		v.applyRead(res)
	}
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
	return server.Serve(ctx, server.NewHTTPServer(h), v.readinessListener, time.Second)
}
