package faker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/runner"
)

// ConfigurationKey is the platform's key under which an Environment publishes its configuration.
const ConfigurationKey = "teams"

// Environment holds the stand-ins around the VMs under test, on one loopback network: the platform, the searchers of a
// configuration and the links between failure domains.
type Environment struct {
	Platform       *Platform
	Record         *Record
	Searchers      []*Searcher
	Configuration  modeler.Configuration
	Links          []modeler.Link
	network        uint8
	domainByAddr   map[netip.Addr]modeler.FailureDomain // failure domains of the VMs
	failureDomains []modeler.FailureDomain
}

// EnvironmentConfig configures an Environment.
type EnvironmentConfig struct {
	Network       uint8 // N of the loopback network 127.N.0.0/16
	Configuration modeler.Configuration
	LinkDelay     time.Duration // one-way delay between two failure domains
	ServiceTime   time.Duration // median service time of the searchers
	Seed          uint64        // seed of the searchers' random service times
}

// StartEnvironment moves the searchers of a configuration to the network 127.N.0.0/16, starts stand-ins for them and for
// the platform, and publishes the configuration.
func StartEnvironment(ctx context.Context, cfg EnvironmentConfig) (*Environment, error) {
	e := &Environment{Record: &Record{}, network: cfg.Network, domainByAddr: map[netip.Addr]modeler.FailureDomain{}}
	e.Configuration = e.moveToNetwork(cfg.Configuration)
	e.collectFailureDomains()
	for n := 1; n < 100; n++ {
		e.domainByAddr[e.addr(0, byte(n))] = e.vmDomain(n)
	}
	for i, a := range e.failureDomains {
		for _, b := range e.failureDomains[i+1:] {
			e.Links = append(e.Links, modeler.Link{From: a, To: b, Delay: modeler.Duration{Duration: cfg.LinkDelay}})
		}
	}
	var err error
	e.Platform, err = StartPlatform(ctx, netip.AddrPortFrom(e.addr(0, 100), 9000))
	if err != nil {
		return nil, err
	}
	for _, s := range e.Configuration.Services {
		for _, r := range s.Searchers {
			if err := e.startSearcher(ctx, s, r, cfg); err != nil {
				e.Stop()
				return nil, err
			}
		}
	}
	_, err = e.Platform.PublishConfiguration(ConfigurationKey, e.Configuration)
	return e, err
}

// vmDomain returns the failure domain of the n-th VM, counted from 1.
func (e *Environment) vmDomain(n int) modeler.FailureDomain {
	return e.failureDomains[(n-1)%len(e.failureDomains)]
}

// addr returns 127.N.c.d. VM n has the address 127.N.0.n, the proxy in front of its peer address 127.N.99.n, and the
// platform 127.N.0.100; searchers keep the last two bytes of their configured addresses.
func (e *Environment) addr(c, d byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, e.network, c, d})
}

func (e *Environment) moveToNetwork(c modeler.Configuration) modeler.Configuration {
	services := append([]modeler.Service(nil), c.Services...)
	for i := range services {
		searchers := append([]modeler.Searcher(nil), services[i].Searchers...)
		for k := range searchers {
			old := searchers[k].Address.Addr().As4()
			searchers[k].Address = netip.AddrPortFrom(e.addr(old[2], old[3]), searchers[k].Address.Port())
		}
		services[i].Searchers = searchers
	}
	c.Services = services
	return c
}

func (e *Environment) collectFailureDomains() {
	seen := map[modeler.FailureDomain]bool{}
	for _, s := range e.Configuration.Services {
		for _, r := range s.Searchers {
			if !seen[r.FailureDomain] {
				seen[r.FailureDomain] = true
				e.failureDomains = append(e.failureDomains, r.FailureDomain)
			}
		}
	}
}

// startSearcher starts a searcher, which delays its answers to other failure domains by the link delay in both directions.
func (e *Environment) startSearcher(ctx context.Context, service modeler.Service, r modeler.Searcher, cfg EnvironmentConfig) error {
	searcher := &Searcher{
		Service: service, Searcher: r, record: e.Record,
		networkDelay: func(from netip.Addr) time.Duration {
			if e.domainByAddr[from] == r.FailureDomain {
				return 0
			}
			return 2 * cfg.LinkDelay
		},
		behaviour:     Behaviour{ServiceTime: cfg.ServiceTime},
		heldSnapshots: map[modeler.IndexName][]modeler.Snapshot{},
		slots:         make(chan struct{}, service.Contract.Slots),
		random:        rand.New(rand.NewPCG(cfg.Seed, uint64(len(e.Searchers)))),
	}
	for _, x := range e.Configuration.Indexes {
		searcher.heldSnapshots[x.Name] = x.Snapshots
	}
	e.Searchers = append(e.Searchers, searcher)
	return searcher.Start(ctx)
}

// Stop stops all stand-ins and waits for their end.
func (e *Environment) Stop() {
	for _, s := range e.Searchers {
		if s.cancel != nil {
			s.Stop()
		}
	}
	e.Platform.Stop()
}

// Settings returns the settings of the n-th VM, counted from 1. The VMs are spread evenly over the failure domains.
func (e *Environment) Settings(n int) runner.Settings {
	a := e.addr(0, byte(n))
	s := runner.Settings{
		Name:          modeler.VMName(fmt.Sprintf("entry-%d", n)),
		FailureDomain: e.vmDomain(n),
		Listen: runner.Listen{
			Callers: netip.AddrPortFrom(a, 8080), Operators: netip.AddrPortFrom(a, 8081), Peers: netip.AddrPortFrom(a, 8082),
		},
		Platform:   e.Platform.Address,
		Peers:      []netip.AddrPort{netip.AddrPortFrom(e.addr(0, 1), 8082), netip.AddrPortFrom(e.addr(0, 2), 8082)},
		Keys:       []string{"a shared key of the stand-ins"},
		Token:      "operators",
		Links:      e.Links,
		DrainDelay: modeler.Duration{Duration: 300 * time.Millisecond},
	}
	_ = s.Check() // fills in the defaults
	return s
}

// PublishListing replaces the platform's list of VMs by the VMs with the given settings.
func (e *Environment) PublishListing(settings ...runner.Settings) {
	l := modeler.Listing{}
	for _, s := range settings {
		l.VMs = append(l.VMs, modeler.VM{Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain})
	}
	e.Platform.SetListing(l)
}

// SearchersOf returns the searchers of a service.
func (e *Environment) SearchersOf(service modeler.ServiceName) []*Searcher {
	var out []*Searcher
	for _, s := range e.Searchers {
		if s.Service.Name == service {
			out = append(out, s)
		}
	}
	return out
}

// ChangeAll applies f to the behaviour of all searchers.
func (e *Environment) ChangeAll(f func(*Behaviour)) {
	for _, s := range e.Searchers {
		s.Change(f)
	}
}
