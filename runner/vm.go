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

// Mechanisms are the parts that tests switch off to show that their checks trip.
type Mechanisms struct {
	Scatterer []scatterer.Option
	Orderer   []orderer.Option
	Store     []configurer.Option
	Node      []gossiper.Option
	Tickets   func(*ticketer.Home) *ticketer.Home
	TellNews  bool
	Handover  bool
}

// AllOn returns mechanisms that are all in use.
func AllOn() Mechanisms { return Mechanisms{TellNews: true, Handover: true} }

// VM is one process of the tier.
type VM struct {
	cfg         Settings
	mechanisms  Mechanisms
	incarnation ticketer.Incarnation
	started     time.Time

	callers   net.Listener
	operators net.Listener
	ready     net.Listener
	peers     net.Listener
	datagrams net.PacketConn

	recorder   *recorder.Recorder
	observer   *observer.Observer
	quarantine *observer.Quarantine
	dialer     *dialer.Dialer
	scatterer  *scatterer.Scatterer
	admitter   *limiter.Admitter
	store      *configurer.Store
	platform   *watcher.Client
	watcher    *watcher.Watcher
	follower   *watcher.Follower
	storeCalls *platform.Store
	gossip     *gossiper.Gossip
	relays     *relayer.Client
	spread     *relayer.Spreader
	home       *ticketer.Home
	orderer    *orderer.Orderer
	metrics    metrics.Registry

	building     func()
	viewMu       sync.Mutex
	membershipMu sync.Mutex
	view         atomic.Pointer[planner.View]
	membership   atomic.Pointer[membership]
	peerSeeds    atomic.Pointer[[]netip.AddrPort]
	listing      atomic.Pointer[modeler.Listing]
	draining     atomic.Bool
	idle         server.IdleConns
	readers      readers
	shares       shares
	calls        atomic.Uint64
	drain        chan struct{}
	pulls        chan gossiper.Member
	woken        chan time.Duration
}

// Option changes a VM under construction.
type Option func(*VM)

// WithMechanisms sets which parts are in use.
func WithMechanisms(m Mechanisms) Option { return func(v *VM) { v.mechanisms = m } }

// NewVM opens the ports of a VM; the error names the port that is taken.
func NewVM(cfg Settings, options ...Option) (*VM, error) {
	v := &VM{
		cfg: cfg, mechanisms: AllOn(), started: time.Now(),
		incarnation: ticketer.Incarnation(rand.Uint64() | 1),
		drain:       make(chan struct{}, 1),
		pulls:       make(chan gossiper.Member, 1),
		woken:       make(chan time.Duration, 1),
		metrics:     metrics.NewRegistry(),
		building:    func() {},
	}
	v.peerSeeds.Store(&v.cfg.Peers)
	for _, o := range options {
		o(v)
	}
	if err := v.open(); err != nil {
		v.close()
		return nil, err
	}
	v.build()
	return v, nil
}

// Reload takes in the part of the settings that may change while the VM runs: the peers by which it finds others.
func (v *VM) Reload(cfg Settings) {
	v.peerSeeds.Store(&cfg.Peers)
	klog.InfoS("settings: read again", "vm", string(v.cfg.Name), "peers", len(cfg.Peers))
}

func (v *VM) open() error {
	var err error
	if v.callers, err = net.Listen("tcp", v.cfg.Listen.Callers.String()); err != nil {
		return errors.Wrap(err, "callers' port")
	}
	if v.operators, err = net.Listen("tcp", v.cfg.Listen.Operators.String()); err != nil {
		return errors.Wrap(err, "operators' port")
	}
	if v.cfg.Routing != nil {
		if v.ready, err = net.Listen("tcp", v.cfg.Routing.Ready.String()); err != nil {
			return errors.Wrap(err, "readiness port")
		}
	}
	if v.peers, err = net.Listen("tcp", v.cfg.Listen.Peers.String()); err != nil {
		return errors.Wrap(err, "peers' port")
	}
	if v.datagrams, err = net.ListenPacket("udp", v.cfg.Listen.Peers.String()); err != nil {
		return errors.Wrap(err, "peers' datagram port")
	}
	return nil
}

func (v *VM) close() {
	for _, l := range []net.Listener{v.callers, v.operators, v.ready, v.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
	if v.datagrams != nil {
		_ = v.datagrams.Close()
	}
}

// build joins the parts; none of them runs yet.
func (v *VM) build() {
	local := v.cfg.Listen.Peers.Addr()
	clock := recorder.NewClock(time.Now)
	v.recorder = recorder.NewRecorder(v.cfg.Name, clock,
		recorder.WithCapacity(v.cfg.Timeline.Events), recorder.WithSample(v.cfg.Timeline.Sample))
	v.observer = observer.NewObserver(v.observerOptions()...)
	v.quarantine = observer.NewQuarantine()
	v.admitter = limiter.NewAdmitter()
	v.dialer = dialer.NewDialer(local, v.dialerOptions()...)
	v.scatterer = scatterer.NewScatterer(v.dialer, v.observer, v.quarantine, v.recorder,
		append([]scatterer.Option{scatterer.WithDraining(v.foundDraining), scatterer.WithPoisoned(v.foundPoison), scatterer.WithSuspect(v.foundSuspect), scatterer.WithPressure(v.admitter.Pressed)}, v.mechanisms.Scatterer...)...)
	v.store = configurer.NewStore(append(v.storeOptions(), v.mechanisms.Store...)...)
	v.platform = watcher.NewClient(v.cfg.Platform, func() { v.calls.Add(1) })
	v.watcher = &watcher.Watcher{
		Client: v.platform, Store: v.store, Reader: v.isReader, VMs: v.fleet, Changed: v.configured, Listed: v.listed,
	}
	if v.cfg.Routing != nil {
		v.buildRouting(local)
	}
	v.buildPeers(local, clock)
}

func (v *VM) buildPeers(local netip.Addr, clock *recorder.Clock) {
	self := gossiper.Member{
		Name: v.cfg.Name, Address: v.cfg.Advertise, Admin: v.cfg.Listen.Operators, Domain: v.cfg.FailureDomain,
		Incarnation: v.incarnation, Version: uint64(v.started.UnixMicro()), Relay: v.cfg.isRelay(),
	}
	node := gossiper.NewNode(self, clock, rand.IntN, v.mechanisms.Node...)
	v.gossip = gossiper.NewGossip(node, v.datagrams, v.cfg.keyBytes(), gossiper.Handlers{
		Changed: v.memberChanged, Pull: v.askPull, News: v.heardNews, Woke: v.woke,
	})
	v.relays = relayer.NewClient(local, []byte(v.cfg.Keys[0]))
	v.spread = relayer.NewSpreader(v.scatterer, v.relays, v.cfg.Name, v.cfg.RelayWidth)
	v.refreshMembership()
	v.home = ticketer.NewHome(v.incarnation)
	if v.mechanisms.Tickets != nil {
		v.home = v.mechanisms.Tickets(v.home)
	}
	v.orderer = orderer.NewOrderer(v.home, ticketer.NewSigner(v.cfg.keyBytes()), v.dialer, v.recorder,
		v.view.Load, v.forward, rand.IntN, v.mechanisms.Orderer...)
}

// Run serves until the context ends or an operator drains the VM; then it lets every accepted request end, hands its tickets over and stops.
func (v *VM) Run(ctx context.Context) error {
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStarted})
	klog.Infof("vm: %s in %s serves callers on %s", v.cfg.Name, v.cfg.FailureDomain, v.cfg.Listen.Callers)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	front, closeFront := context.WithCancel(life)
	defer closeFront()
	v.join(ctx)

	background, failed := v.startParts(life)
	callers := spawner.Go(front, v.serveCallers)
	err := v.untilEnd(ctx, callers, failed)
	v.draining.Store(true)
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessDraining})
	klog.Infof("vm: %s drains", v.cfg.Name)
	if err == nil {
		spawner.Sleep(life, v.cfg.DrainDelay.Duration)
		closeFront()
		err = <-callers
	}
	v.leave(life)
	end()
	err = errors.Wrap(firstOf(err, spawner.Wait(background...)), "vm")
	v.dialer.Close()
	v.relays.Close()
	v.platform.Close()
	v.recorder.Record(recorder.Event{Kind: recorder.ProcessStopped})
	klog.Infof("vm: %s stopped", v.cfg.Name)
	return err
}

// startParts starts what runs behind the callers' port; failed reports a part that ends before its context.
func (v *VM) startParts(ctx context.Context) (ends []<-chan error, failed <-chan error) {
	parts := []func(context.Context) error{
		v.gossip.Run, v.pull, v.synchronize, v.servePeers, v.serveOperators,
	}
	if v.cfg.Routing != nil {
		parts = append(parts, v.follower.Run, v.routeUpkeep, v.serveReady)
	} else {
		parts = append(parts, v.watcher.Run, v.upkeep, func(ctx context.Context) error {
			return v.watcher.RunListing(ctx, v.cfg.ListPeriod.Duration)
		})
	}
	early := make(chan error, len(parts))
	for _, part := range parts {
		ends = append(ends, spawner.Go(ctx, func(ctx context.Context) error {
			err := part(ctx)
			if ctx.Err() == nil {
				early <- errors.Wrap(err, "a part ended early")
			}
			return err
		}))
	}
	return ends, early
}

// untilEnd waits until the VM is told to end, or a part of it fails; an error from the callers' port itself leaves nothing to drain.
func (v *VM) untilEnd(ctx context.Context, callers, failed <-chan error) error {
	select {
	case <-ctx.Done():
	case <-v.drain:
	case err := <-failed:
		klog.Errorf("vm: %s ends: %v", v.cfg.Name, err)
	case err := <-callers:
		return errors.Wrap(err, "callers' server ended")
	}
	return nil
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (v *VM) serveCallers(ctx context.Context) error {
	if v.cfg.Routing != nil {
		return v.serveRoutes(ctx)
	}
	searches := &server.Searches{
		Name: v.cfg.Name, View: v.view.Load, Gather: v.spread.Run, Starved: v.scatterer.Starved,
		Admitter: v.admitter, Observer: v.observer, Quarantine: v.quarantine, Recorder: v.recorder,
		Margin: v.cfg.ReturnMargin.Duration, Done: v.countSearch,
	}
	orders := &server.Orders{Orderer: v.orderer, Done: v.countOrder}
	return server.Serve(ctx, server.NewHTTPServer(server.NewCallers(searches, orders, v.draining.Load)), v.callers, v.cfg.Grace.Duration)
}

func (v *VM) servePeers(ctx context.Context) error {
	service := &relayer.Service{
		Store: v.store, Gossip: v.gossip, Home: v.home, Orderer: v.orderer, Scatterer: v.scatterer,
		View: v.view.Load, Self: v.incarnation,
	}
	h := relayer.Authenticated(v.cfg.keyBytes(), relayer.Compressed(messenger.NewPeerServer(service)))
	return server.Serve(ctx, server.NewPeerServer(h), v.peers, time.Second)
}
