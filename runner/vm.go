package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/relayer"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/ticketer"
	"github.com/pistachiogap/pistachiogap/watcher"
)

// Mechanisms selects the mechanisms in use. Tests switch some off to prove that their checks detect it.
type Mechanisms struct {
	Scatterer     []scatterer.Option
	Orderer       []orderer.Option
	Store         []configurer.Option
	Node          []gossiper.Option
	Tickets       func(*ticketer.Registry) *ticketer.Registry
	BroadcastNews bool // announce quarantined and suspect requests and draining searchers to the other VMs
	Handover      bool // hand tickets over when leaving
}

// AllMechanisms returns Mechanisms with every mechanism in use.
func AllMechanisms() Mechanisms { return Mechanisms{BroadcastNews: true, Handover: true} }

// VM is one process of the tier. Whether cfg.Routing is nil decides its role; see the package comment.
type VM struct {
	cfg         Settings
	mechanisms  Mechanisms
	incarnation ticketer.Incarnation
	startedAt   time.Time

	callerListener    net.Listener
	operatorListener  net.Listener
	readinessListener net.Listener
	peerListener      net.Listener
	gossipConn        net.PacketConn

	recorder       *recorder.Recorder
	observer       *observer.Observer
	quarantine     *observer.Quarantine
	dialer         *dialer.Dialer
	scatterer      *scatterer.Scatterer
	admitter       *limiter.Admitter
	store          *configurer.Store
	platformClient *watcher.Client
	watcher        *watcher.Watcher  // used without routing settings
	follower       *watcher.Follower // used with routing settings
	storeClient    *platform.Store   // used with routing settings
	gossip         *gossiper.Gossip
	relayClient    *relayer.Client
	spreader       *relayer.Spreader
	tickets        *ticketer.Registry
	orderer        *orderer.Orderer
	metrics        metrics.Registry

	beforeViewBuild func()     // hook for tests
	viewMu          sync.Mutex // serializes updateView
	membershipMu    sync.Mutex // serializes refreshMembership
	view            atomic.Pointer[planner.View]
	membership      atomic.Pointer[membership]
	peerSeeds       atomic.Pointer[[]netip.AddrPort] // the peers in the settings
	listing         atomic.Pointer[modeler.Listing]  // the platform's latest list of VMs, if any
	draining        atomic.Bool
	stop            *server.Stop
	idleConns       server.IdleConns
	storeLosses     storeLosses
	shares          shareCache
	backoffs        backoffs
	platformCalls   atomic.Uint64
	drainRequests   chan struct{}
	pullRequests    chan gossiper.Member
	pauses          chan time.Duration // pauses of this process
}

// Option changes a VM under construction.
type Option func(*VM)

// WithMechanisms sets which mechanisms are in use.
func WithMechanisms(m Mechanisms) Option { return func(v *VM) { v.mechanisms = m } }

// NewVM builds a VM and opens its ports. Its error names the port that could not be opened.
func NewVM(cfg Settings, options ...Option) (*VM, error) {
	v := &VM{
		cfg: cfg, mechanisms: AllMechanisms(), startedAt: time.Now(),
		incarnation:     ticketer.Incarnation(rand.Uint64() | 1), // never 0
		drainRequests:   make(chan struct{}, 1),
		pullRequests:    make(chan gossiper.Member, 1),
		pauses:          make(chan time.Duration, 1),
		metrics:         metrics.NewRegistry(),
		beforeViewBuild: func() {},
		stop:            server.NewStop(),
	}
	v.peerSeeds.Store(&v.cfg.Peers)
	for _, o := range options {
		o(v)
	}
	if err := v.openPorts(); err != nil {
		v.closePorts()
		return nil, err
	}
	v.buildParts()
	return v, nil
}

// Reload applies the part of the settings that may change while the VM runs: the peers by which it finds other VMs.
func (v *VM) Reload(cfg Settings) {
	v.peerSeeds.Store(&cfg.Peers)
	klog.InfoS("settings: read again", "vm", string(v.cfg.Name), "peers", len(cfg.Peers))
}

func (v *VM) openPorts() error {
	var err error
	if v.callerListener, err = net.Listen("tcp", v.cfg.Listen.Callers.String()); err != nil {
		return errors.Wrap(err, "callers' port")
	}
	if v.operatorListener, err = net.Listen("tcp", v.cfg.Listen.Operators.String()); err != nil {
		return errors.Wrap(err, "operators' port")
	}
	if v.cfg.Routing != nil {
		if v.readinessListener, err = net.Listen("tcp", v.cfg.Routing.Ready.String()); err != nil {
			return errors.Wrap(err, "readiness port")
		}
	}
	if v.peerListener, err = net.Listen("tcp", v.cfg.Listen.Peers.String()); err != nil {
		return errors.Wrap(err, "peers' port")
	}
	if v.gossipConn, err = net.ListenPacket("udp", v.cfg.Listen.Peers.String()); err != nil {
		return errors.Wrap(err, "peers' datagram port")
	}
	return nil
}

func (v *VM) closePorts() {
	for _, l := range []net.Listener{v.callerListener, v.operatorListener, v.readinessListener, v.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if v.gossipConn != nil {
		_ = v.gossipConn.Close()
	}
}

// buildParts builds the VM's parts and connects them, but starts none of them.
func (v *VM) buildParts() {
	local := v.cfg.Listen.Peers.Addr()
	clock := recorder.NewClock(time.Now)
	v.recorder = recorder.NewRecorder(v.cfg.Name, clock,
		recorder.WithCapacity(v.cfg.Timeline.Events), recorder.WithSample(v.cfg.Timeline.Sample))
	v.observer = observer.NewObserver(v.observerOptions()...)
	v.quarantine = observer.NewQuarantine()
	v.admitter = limiter.NewAdmitter()
	v.dialer = dialer.NewDialer(local, v.dialerOptions()...)
	v.scatterer = scatterer.NewScatterer(v.dialer, v.observer, v.quarantine, v.recorder,
		append(v.scattererOptions(), v.mechanisms.Scatterer...)...)
	v.store = configurer.NewStore(append(v.storeOptions(), v.mechanisms.Store...)...)
	v.platformClient = watcher.NewClient(v.cfg.Platform, func() { v.platformCalls.Add(1) })
	v.watcher = &watcher.Watcher{
		Client: v.platformClient, Store: v.store, IsReader: v.isReader, VMCount: v.fleetSize, Changed: v.applyOffer, Listed: v.handleListing,
	}
	if v.cfg.Routing != nil {
		v.buildRouting(local)
	}
	v.buildPeers(local, clock)
}

func (v *VM) scattererOptions() []scatterer.Option {
	options := []scatterer.Option{
		scatterer.WithOnDraining(v.announceDrainingInBand), scatterer.WithOnQuarantine(v.announceQuarantine),
		scatterer.WithOnSuspect(v.announceSuspect), scatterer.WithOnSlow(v.announceSlow),
		scatterer.WithPressure(v.admitter.UnderPressure),
		scatterer.WithOnLimit(v.reportLimit), scatterer.WithDivide(v.quotaPart), scatterer.WithOnBackoff(v.reportBackoff),
	}
	if v.cfg.Routing != nil {
		options = append(options, scatterer.WithMaxBackoff(v.cfg.Routing.MaxBackoff.Duration))
	}
	return options
}

// buildPeers builds the parts that communicate with other VMs, and the orderer, which forwards orders to them.
func (v *VM) buildPeers(local netip.Addr, clock *recorder.Clock) {
	self := gossiper.Member{
		Name: v.cfg.Name, Address: v.cfg.Advertise, Admin: v.cfg.Listen.Operators, Domain: v.cfg.FailureDomain,
		Incarnation: v.incarnation, Version: uint64(v.startedAt.UnixMicro()), Relay: v.cfg.isRelay(),
	}
	node := gossiper.NewNode(self, clock, rand.IntN, v.mechanisms.Node...)
	v.gossip = gossiper.NewGossip(node, v.gossipConn, v.cfg.keyBytes(), gossiper.Handlers{
		Changed: v.handleMemberChange, Pull: v.requestPull, News: v.handleNews, Resumed: v.handlePause,
	})
	v.relayClient = relayer.NewClient(local, []byte(v.cfg.Keys[0]))
	v.spreader = relayer.NewSpreader(v.scatterer, v.relayClient, v.cfg.Name, v.cfg.RelayWidth)
	v.refreshMembership()
	v.tickets = ticketer.NewRegistry(v.incarnation)
	if v.mechanisms.Tickets != nil {
		v.tickets = v.mechanisms.Tickets(v.tickets)
	}
	v.orderer = orderer.NewOrderer(v.tickets, ticketer.NewSigner(v.cfg.keyBytes()), v.dialer, v.recorder,
		v.view.Load, v.forward, rand.IntN, v.mechanisms.Orderer...)
}

// Run serves until the context ends, an operator drains the VM, or one of its parts returns. Then the VM finishes the
// accepted requests, hands its tickets over and stops. Requests that are still open after the grace are cut off. A panic
// of a background part does not end Run: see startParts.
func (v *VM) Run(ctx context.Context) error {
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStarted})
	klog.Infof("vm: %s in %s serves callers on %s", v.cfg.Name, v.cfg.FailureDomain, v.cfg.Listen.Callers)
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	callersCtx, stopCallers := context.WithCancel(partsCtx)
	defer stopCallers()
	v.join(ctx)

	parts, failures := v.startParts(partsCtx)
	callers := spawner.Go(callersCtx, v.serveCallers)
	err := v.waitForEnd(ctx, callers, failures)
	v.draining.Store(true)
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessDraining})
	klog.Infof("vm: %s drains", v.cfg.Name)
	if err == nil {
		v.stop.Begin(time.Now().Add(v.cfg.DrainDelay.Duration + v.cfg.Grace.Duration))
		spawner.Sleep(partsCtx, v.cfg.DrainDelay.Duration)
		stopCallers()
		err = <-callers
	}
	v.leave(partsCtx)
	stopParts()
	err = errors.Wrap(firstError(err, spawner.Wait(parts...)), "vm")
	v.dialer.Close()
	v.relayClient.Close()
	v.platformClient.Close()
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStopped})
	klog.Infof("vm: %s stopped", v.cfg.Name)
	return err
}

// startParts starts the background parts: all except the callers' server. It returns a result channel for each part, and
// one channel that receives the error, or nil, of each part that returns before the context ends. A part that panics
// sends nothing on that channel, because spawner.Go recovers the panic outside the function that sends. Its error is
// only in its result channel.
func (v *VM) startParts(ctx context.Context) (results []<-chan error, failures <-chan error) {
	parts := []func(context.Context) error{
		v.gossip.Run, v.runPulls, v.runSync, v.servePeers, v.serveOperators,
	}
	if v.cfg.Routing != nil {
		parts = append(parts, v.follower.Run, v.runRouteUpkeep, v.serveReady)
	} else {
		parts = append(parts, v.watcher.Run, v.runUpkeep, func(ctx context.Context) error {
			return v.watcher.RunListing(ctx, v.cfg.ListPeriod.Duration)
		})
	}
	earlyEnds := make(chan error, len(parts))
	for _, part := range parts {
		results = append(results, spawner.Go(ctx, func(ctx context.Context) error {
			err := part(ctx)
			if ctx.Err() == nil {
				earlyEnds <- errors.Wrap(err, "background part ended before the VM stopped")
			}
			return err
		}))
	}
	return results, earlyEnds
}

// waitForEnd waits until the context ends, an operator drains the VM, a background part returns, or the callers' server
// ends. It returns an error only if the callers' server ended, because then no requests are left to drain.
func (v *VM) waitForEnd(ctx context.Context, callers, failures <-chan error) error {
	select {
	case <-ctx.Done():
	case <-v.drainRequests:
	case err := <-failures:
		klog.Errorf("vm: %s stops because a part failed: %v", v.cfg.Name, err)
	case err := <-callers:
		return errors.Wrap(err, "callers' server ended before the VM was drained")
	}
	return nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (v *VM) serveCallers(ctx context.Context) error {
	if v.cfg.Routing != nil {
		return v.serveRoutes(ctx)
	}
	searches := &server.SearchHandler{
		Name: v.cfg.Name, View: v.view.Load, Gather: v.spreader.Run, TakeStarvedAttempts: v.scatterer.TakeStarvedAttempts,
		Admitter: v.admitter, Observer: v.observer, Quarantine: v.quarantine, Recorder: v.recorder,
		DeadlineMargin: v.cfg.ReturnMargin.Duration, OnDone: v.countSearch,
	}
	orders := &server.OrderHandler{Orderer: v.orderer, OnDone: v.countOrder}
	return server.Serve(ctx, server.NewHTTPServer(server.NewCallersHandler(searches, orders, v.draining.Load)), v.callerListener, v.cfg.Grace.Duration)
}

func (v *VM) servePeers(ctx context.Context) error {
	service := &relayer.Service{
		Store: v.store, Gossip: v.gossip, Tickets: v.tickets, Orderer: v.orderer, Scatterer: v.scatterer,
		View: v.view.Load, Self: v.incarnation,
	}
	h := relayer.RequireSignature(v.cfg.keyBytes(), relayer.CompressLarge(messenger.NewPeerServer(service)))
	return server.Serve(ctx, server.NewPeerServer(h), v.peerListener, time.Second)
}
