package runner

import (
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
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/relayer"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/server"
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
	intake          *limiter.Intake // of the callers' port
	storeLosses     storeLosses
	shares          shareCache
	exclusions      exclusions
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
	v.intake = limiter.NewIntake(v.cfg.Resources.Bytes()/IntakeDivisor, v.cfg.Resources.callerConns())
	v.dialer = dialer.NewDialer(local, v.dialerOptions()...)
	v.scatterer = scatterer.NewScatterer(v.dialer, v.observer, v.quarantine, v.recorder,
		append(v.scattererOptions(), v.mechanisms.Scatterer...)...)
	v.store = configurer.NewStore(append(v.storeOptions(), v.mechanisms.Store...)...)
	v.platformClient = watcher.NewClient(v.cfg.Platform, func() { v.platformCalls.Add(1) })
	v.watcher = &watcher.Watcher{
		Client: v.platformClient, Store: v.store, IsReader: v.isReader, VMCount: v.fleetSize, Changed: v.applyRead, Listed: v.handleListing,
	}
	if v.cfg.Routing != nil {
		v.buildRouting(local)
	}
	v.buildPeers(local, clock)
}

func (v *VM) scattererOptions() []scatterer.Option {
	options := []scatterer.Option{
		scatterer.WithOnDraining(v.announceDrainingInBand), scatterer.WithOnQuarantine(v.announceQuarantine),
		scatterer.WithOnSuspect(v.announceCrash), scatterer.WithOnGood(v.announceGood), scatterer.WithOnSlow(v.announceSlow),
		scatterer.WithPressure(v.admitter.UnderPressure),
		scatterer.WithOnBackoff(v.reportBackoff),
	}
	if v.cfg.Routing == nil {
		return options
	}
	return append(options,
		scatterer.WithOnLimit(v.reportLimit), scatterer.WithDivide(v.quotaPart), scatterer.WithMaxBackoff(v.cfg.Routing.MaxBackoff.Duration))
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
