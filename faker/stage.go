package faker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/generator"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/runner"
	"github.com/pistachiogap/pistachiogap/spawner"
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

// machine is one VM of a stage: a process of the program, or a VM within this process.
type machine struct {
	settings runner.Settings
	process  *exec.Cmd
	end      context.CancelFunc
	done     <-chan error
	hidden   bool
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

// Options are the name=value arguments of a verb.
type Options map[string]string

// ParseOptions splits the arguments of a verb into words and options.
func ParseOptions(args []string) (words []string, o Options) {
	o = Options{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			o[name] = value
		} else {
			words = append(words, a)
		}
	}
	return words, o
}

// Duration returns an option that is a duration.
func (o Options) Duration(name string, v time.Duration) time.Duration {
	if d, err := time.ParseDuration(o[name]); err == nil {
		return d
	}
	return v
}

// Float returns an option that is a number.
func (o Options) Float(name string, v float64) float64 {
	if f, err := strconv.ParseFloat(o[name], 64); err == nil {
		return f
	}
	return v
}

// Text returns an option that is text.
func (o Options) Text(name, v string) string {
	if s, ok := o[name]; ok {
		return s
	}
	return v
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

// begin starts a VM, as a process or within this one.
func (s *Stage) begin(n int, o Options, inside bool) error {
	cfg, err := s.settings(n, o)
	if err != nil {
		return err
	}
	m := &machine{settings: cfg, hidden: true}
	if inside {
		err = s.beginInside(m, o)
	} else {
		err = s.beginProcess(m)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.vms[n] = m
	s.mu.Unlock()
	s.list()
	return nil
}

func (s *Stage) beginInside(m *machine, o Options) error {
	mechanisms, err := Without(o.Text("without", ""))
	if err != nil {
		return err
	}
	vm, err := runner.NewVM(m.settings, runner.WithMechanisms(mechanisms))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	m.end, m.done = cancel, spawner.Go(ctx, vm.Run)
	return nil
}

func (s *Stage) beginProcess(m *machine) error {
	b, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.Dir, string(m.settings.Name)+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	m.process = exec.Command(s.Program, "serve", "--settings", file)
	logs, err := os.OpenFile(filepath.Join(s.Dir, string(m.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process.Stdout, m.process.Stderr = logs, logs
	if err := m.process.Start(); err != nil {
		return err
	}
	m.done = spawner.Go(s.ctx, func(context.Context) error {
		defer func() { _ = logs.Close() }()
		return m.process.Wait()
	})
	return nil
}

func (s *Stage) machine(n int) (*machine, error) {
	s.mu.Lock()
	m := s.vms[n]
	s.mu.Unlock()
	if m == nil {
		return nil, errors.Errorf("VM %d does not run", n)
	}
	return m, nil
}

func (s *Stage) signal(n int, sig syscall.Signal) error {
	m, err := s.machine(n)
	if err != nil {
		return err
	}
	if m.process == nil {
		return errors.Errorf("VM %d is no process", n)
	}
	return m.process.Process.Signal(sig)
}

// kill ends a VM at once.
func (s *Stage) kill(n int) error {
	m, err := s.machine(n)
	if err != nil {
		return err
	}
	s.forget(n)
	if m.process == nil {
		m.end()
		<-m.done
		return nil
	}
	_ = m.process.Process.Kill()
	<-m.done
	return nil
}

// hide takes a VM out of the balancer's choice, or puts it back.
func (s *Stage) hide(n int, hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.vms[n]; m != nil {
		m.hidden = hidden
	}
}

func (s *Stage) forget(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, n)
}

// stop tells VMs to end and waits until they did so in good order.
func (s *Stage) stop(ns []int) error {
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		s.hide(n, true)
		if m.process == nil {
			m.end()
		} else if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		s.forget(n)
		select {
		case err := <-m.done:
			if err != nil {
				return errors.Wrapf(err, "VM %d", n)
			}
		case <-time.After(stopLimit):
			return errors.Errorf("VM %d does not stop", n)
		}
	}
	return nil
}

func (s *Stage) ready(ns []int) error {
	for _, n := range ns {
		m, err := s.machine(n)
		if err != nil {
			return err
		}
		if err := WaitReady(s.ctx, []runner.Settings{m.settings}, readyLimit); err != nil {
			return err
		}
		s.hide(n, false)
	}
	return nil
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
