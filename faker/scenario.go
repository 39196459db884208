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

// Limits of a scenario.
const (
	MaxVMs       = 90 // VMs are numbered from 1
	readyTimeout = 60 * time.Second
	stopTimeout  = 60 * time.Second
)

// Scenario runs one scenario script. It holds the environment of stand-ins, the VMs under test, the links between them,
// and callers that check every answer.
type Scenario struct {
	Dir     string // directory for the settings and log files of the VMs
	Program string // path of the program that VMs run as processes of their own
	Network uint8  // N of the loopback network 127.N.0.0/16
	Logf    func(format string, args ...any)

	ctx            context.Context
	cancel         context.CancelFunc
	environment    *Environment
	client         *caller.Client
	vms            map[int]*scenarioVM
	proxies        map[int]*Proxy
	mu             sync.Mutex
	linkStates     map[[2]netip.Addr]LinkState // by the addresses of the VM that opens connections and of the other VM
	lossShare      float64                     // share of the datagrams between VMs that are lost
	leaving        []netip.AddrPort            // searchers that the platform lists as leaving
	ticketPath     string                      // path of the ticket that the last command "ticket" got
	searches       *SearchTraffic
	orders         *OrderTraffic
	configurations map[modeler.SnapshotID]modeler.Configuration // last configuration published with each snapshot
}

// NewScenario returns a scenario without an environment; StartEnvironment must be called before a VM is started.
func NewScenario(ctx context.Context, program, dir string, network uint8, logf func(string, ...any)) *Scenario {
	s := &Scenario{
		Dir: dir, Program: program, Network: network, Logf: logf, client: caller.NewClient(netip.Addr{}),
		vms: map[int]*scenarioVM{}, proxies: map[int]*Proxy{}, linkStates: map[[2]netip.Addr]LinkState{},
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// Close stops the traffic, kills all VMs and stops the stand-ins.
func (s *Scenario) Close() {
	s.stopTraffic()
	for n := range MaxVMs + 1 {
		_ = s.killVM(n)
	}
	s.cancel()
	for _, p := range s.proxies {
		p.Wait()
	}
	if s.environment != nil {
		s.environment.Stop()
	}
	s.client.Close()
}

// StartEnvironment starts the stand-ins for the configuration that the generator makes of a questionnaire file.
func (s *Scenario) StartEnvironment(questionnaire string, o Options) error {
	b, err := os.ReadFile(questionnaire)
	if err != nil {
		return err
	}
	q, err := parser.Decode[generator.Questionnaire](questionnaire, b)
	if err != nil {
		return err
	}
	cfg, _ := generator.Generate(q)
	s.environment, err = StartEnvironment(s.ctx, EnvironmentConfig{
		Network: s.Network, Configuration: cfg, Seed: 1,
		LinkDelay: o.Duration("link", 500*time.Microsecond), ServiceTime: o.Duration("service", 2*time.Millisecond),
	})
	if err != nil {
		return err
	}
	s.searches = newSearchTraffic(s)
	s.orders = newOrderTraffic(s)
	s.rememberConfiguration()
	return nil
}

// rememberConfiguration stores the present configuration under the id of each of its snapshots, so that an answer from an
// older snapshot can still be checked.
func (s *Scenario) rememberConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configurations == nil {
		s.configurations = map[modeler.SnapshotID]modeler.Configuration{}
	}
	for _, x := range s.environment.Configuration.Indexes {
		for _, v := range x.Snapshots {
			s.configurations[v.ID] = s.environment.Configuration
		}
	}
}

// prepareVM returns the settings of the n-th VM and starts the proxy in front of its peer address, unless the proxy runs
// already. The VM advertises the proxy's address, so its peers reach it only through the proxy. Every VM starts with the
// proxies of VMs 1 to 3 as its peers.
func (s *Scenario) prepareVM(n int, o Options) (runner.Settings, error) {
	cfg := s.environment.Settings(n)
	cfg.Advertise = netip.AddrPortFrom(s.environment.addr(99, byte(n)), 8082)
	cfg.Peers = nil
	for i := 1; i <= 3; i++ {
		cfg.Peers = append(cfg.Peers, netip.AddrPortFrom(s.environment.addr(99, byte(i)), 8082))
	}
	cfg.RelayWidth = int(o.Float("relay-width", 0))
	cfg.Grace.Duration = o.Duration("grace", 20*time.Second)
	cfg.ListPeriod.Duration = o.Duration("list-period", time.Second)
	return cfg, s.startProxy(n, cfg)
}

func (s *Scenario) startProxy(n int, cfg runner.Settings) error {
	if s.proxies[n] != nil {
		return nil
	}
	to := cfg.Listen.Peers.Addr()
	linkState := func(from netip.Addr) LinkState {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.linkStates[[2]netip.Addr{from, to}]
	}
	dropDatagram := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lossShare > 0 && rand.Float64() < s.lossShare
	}
	p, err := StartProxy(s.ctx, cfg.Advertise, cfg.Listen.Peers, linkState, dropDatagram)
	s.proxies[n] = p
	return err
}

// SetLink sets the state of the link from one VM to another: of the connections that the first opens to the second, and
// of the datagrams that it sends there. Connections that the second opens to the first belong to the other direction.
func (s *Scenario) SetLink(from, to int, state LinkState) {
	s.mu.Lock()
	s.linkStates[[2]netip.Addr{s.environment.addr(0, byte(from)), s.environment.addr(0, byte(to))}] = state
	s.mu.Unlock()
	if p := s.proxies[to]; p != nil {
		p.Refresh()
	}
}

// publishListing puts the running VMs and the leaving searchers on the platform's list.
func (s *Scenario) publishListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := modeler.Listing{Leaving: s.leaving}
	for _, vm := range s.vms {
		l.VMs = append(l.VMs, modeler.VM{Name: vm.settings.Name, Address: vm.settings.Advertise, FailureDomain: vm.settings.FailureDomain})
	}
	s.environment.Platform.SetListing(l)
}

// callerAddresses returns the addresses for callers of the VMs to which the balancer sends requests: those that are not
// hidden from it. A VM is hidden from its start until a script's command "vm ready" or "vm show", and again from "vm
// hide" or "vm stop" on. Its health is not checked here.
func (s *Scenario) callerAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; n <= MaxVMs; n++ {
		if vm := s.vms[n]; vm != nil && !vm.hiddenFromBalancer {
			out = append(out, vm.settings.Listen.Callers)
		}
	}
	return out
}

// VMProcess returns a VM's address for callers and the id of its process. The id is 0 if the VM runs within this
// process; both are zero if the VM is not running.
func (s *Scenario) VMProcess(n int) (netip.AddrPort, int) {
	vm, err := s.runningVM(n)
	switch {
	case err != nil:
		return netip.AddrPort{}, 0
	case vm.process == nil:
		return vm.settings.Listen.Callers, 0
	}
	return vm.settings.Listen.Callers, vm.process.Process.Pid
}

// runningVMs returns a copy of s.vms, the running VMs by number.
func (s *Scenario) runningVMs() map[int]*scenarioVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[int]*scenarioVM{}
	for n, vm := range s.vms {
		out[n] = vm
	}
	return out
}
