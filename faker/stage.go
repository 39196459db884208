package faker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/runner"
)

// Bounds of a stage.
const (
	MaxVMs     = 90
	readyLimit = 60 * time.Second
	stopLimit  = 60 * time.Second
)

// Stage runs a scenario: a world of stand-ins, VMs round which it puts faults, and callers that check every answer.
type Stage struct {
	Dir     string
	Program string
	Network uint8
	Logf    func(format string, args ...any)

	ctx     context.Context
	end     context.CancelFunc
	world   *World
	client  *caller.Client
	vms     map[int]*machine
	proxies map[int]*Proxy
	mu      sync.Mutex
	rules   map[[2]netip.Addr]LinkState
	loss    float64
	leaving []netip.AddrPort
	path    string
	traffic *Traffic
	orders  *Bookings
	history map[modeler.SnapshotID]modeler.Configuration
}

// NewStage makes an empty stage; program is the path of the program, dir a place for settings files.
func NewStage(ctx context.Context, program, dir string, network uint8, logf func(string, ...any)) *Stage {
	s := &Stage{
		Dir: dir, Program: program, Network: network, Logf: logf, client: caller.NewClient(netip.Addr{}),
		vms: map[int]*machine{}, proxies: map[int]*Proxy{}, rules: map[[2]netip.Addr]LinkState{},
	}
	s.ctx, s.end = context.WithCancel(ctx)
	return s
}

// Close ends everything on the stage.
func (s *Stage) Close() {
	s.stopTraffic()
	for n := range MaxVMs + 1 {
		_ = s.kill(n)
	}
	s.end()
	for _, p := range s.proxies {
		p.Wait()
	}
	if s.world != nil {
		s.world.Stop()
	}
	s.client.Close()
}

// Start builds the world of a questionnaire.
func (s *Stage) Start(questionnaire string, o Options) error {
	b, err := os.ReadFile(questionnaire)
	if err != nil {
		return err
	}
	q, err := parser.Decode[generator.Questionnaire](questionnaire, b)
	if err != nil {
		return err
	}
	cfg, _ := generator.Generate(q)
	s.world, err = StartWorld(s.ctx, Shape{
		Network: s.Network, Configuration: cfg, Seed: 1,
		Link: o.Duration("link", 500*time.Microsecond), Service: o.Duration("service", 2*time.Millisecond),
	})
	if err != nil {
		return err
	}
	s.traffic = newTraffic(s)
	s.orders = newBookings(s)
	s.remember()
	return nil
}

// remember keeps the partition maps that answers may name.
func (s *Stage) remember() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history == nil {
		s.history = map[modeler.SnapshotID]modeler.Configuration{}
	}
	for _, x := range s.world.Configuration.Indexes {
		for _, v := range x.Snapshots {
			s.history[v.ID] = s.world.Configuration
		}
	}
}

// settings returns the settings of a VM behind its proxy.
func (s *Stage) settings(n int, o Options) (runner.Settings, error) {
	cfg := s.world.Settings(n)
	cfg.Advertise = netip.AddrPortFrom(s.world.addr(99, byte(n)), 8082)
	cfg.Peers = nil
	for i := 1; i <= 3; i++ {
		cfg.Peers = append(cfg.Peers, netip.AddrPortFrom(s.world.addr(99, byte(i)), 8082))
	}
	cfg.RelayWidth = int(o.Float("relay-width", 0))
	cfg.Grace.Duration = o.Duration("grace", 20*time.Second)
	cfg.ListPeriod.Duration = o.Duration("list-period", time.Second)
	return cfg, s.proxy(n, cfg)
}

func (s *Stage) proxy(n int, cfg runner.Settings) error {
	if s.proxies[n] != nil {
		return nil
	}
	to := cfg.Listen.Peers.Addr()
	rule := func(from netip.Addr) LinkState {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.rules[[2]netip.Addr{from, to}]
	}
	lose := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.loss > 0 && rand.Float64() < s.loss
	}
	p, err := StartProxy(s.ctx, cfg.Advertise, cfg.Listen.Peers, rule, lose)
	s.proxies[n] = p
	return err
}

// Link sets how the link from one VM to another behaves.
func (s *Stage) Link(from, to int, state LinkState) {
	s.mu.Lock()
	s.rules[[2]netip.Addr{s.world.addr(0, byte(from)), s.world.addr(0, byte(to))}] = state
	s.mu.Unlock()
	if p := s.proxies[to]; p != nil {
		p.Refresh()
	}
}

// list puts the VMs of the stage on the platform's list.
func (s *Stage) list() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := modeler.Listing{Leaving: s.leaving}
	for _, m := range s.vms {
		l.VMs = append(l.VMs, modeler.VM{Name: m.settings.Name, Address: m.settings.Advertise, FailureDomain: m.settings.FailureDomain})
	}
	s.world.Platform.SetListing(l)
}

// callers returns the callers' addresses of the VMs that answer their health check, as the balancer sees them.
func (s *Stage) callers() []netip.AddrPort {
	var out []netip.AddrPort
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; n <= MaxVMs; n++ {
		if m := s.vms[n]; m != nil && !m.hidden {
			out = append(out, m.settings.Listen.Callers)
		}
	}
	return out
}

// Machine returns the callers' address of a VM and the id of its process, or 0 if it runs within this one.
func (s *Stage) Machine(n int) (netip.AddrPort, int) {
	m, err := s.machine(n)
	switch {
	case err != nil:
		return netip.AddrPort{}, 0
	case m.process == nil:
		return m.settings.Listen.Callers, 0
	}
	return m.settings.Listen.Callers, m.process.Process.Pid
}
