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

// Key is the platform's key under which a World publishes its configuration.
const ConfigurationKey = "teams"

// Environment is the environment of the VMs under test: a platform, the searchers of a configuration and the links between
// failure domains, all stand-ins on one loopback network.
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

// EnvironmentConfig configures a World.
type EnvironmentConfig struct {
	Network       uint8 // N of the loopback network 127.N.0.0/16
	Configuration modeler.Configuration
	LinkDelay     time.Duration // one-way delay between two failure domains
	ServiceTime   time.Duration // median service time of the searchers
	Seed          uint64        // seed of the searchers' random service times
}

// StartEnvironment moves the searchers of a configuration to the network 127.N.0.0/16, starts stand-ins for them and for the
// platform, and publishes the configuration.
func StartEnvironment(ctx context.Context, shape EnvironmentConfig) (*Environment, error) {
	w := &Environment{Record: &Record{}, network: shape.Network, domainByAddr: map[netip.Addr]modeler.FailureDomain{}}
	w.Configuration = w.moveToNetwork(shape.Configuration)
	w.collectFailureDomains()
	for n := 1; n < 100; n++ {
		w.domainByAddr[w.addr(0, byte(n))] = w.vmDomain(n)
	}
	for i, a := range w.failureDomains {
		for _, b := range w.failureDomains[i+1:] {
			w.Links = append(w.Links, modeler.Link{From: a, To: b, Delay: modeler.Duration{Duration: shape.LinkDelay}})
		}
	}
	var err error
	w.Platform, err = StartPlatform(ctx, netip.AddrPortFrom(w.addr(0, 100), 9000))
	if err != nil {
		return nil, err
	}
	for _, s := range w.Configuration.Services {
		for _, r := range s.Searchers {
			if err := w.startSearcher(ctx, s, r, shape); err != nil {
				w.Stop()
				return nil, err
			}
		}
	}
	_, err = w.Platform.PublishConfiguration(ConfigurationKey, w.Configuration)
	return w, err
}

// vmDomain returns the failure domain of the n-th VM, counted from 1.
func (w *Environment) vmDomain(n int) modeler.FailureDomain {
	return w.failureDomains[(n-1)%len(w.failureDomains)]
}

// addr returns 127.N.c.d. VM n has the address 127.N.0.n, the proxy in front of its peer address 127.N.99.n, and the
// platform 127.N.0.100; searchers keep the last two bytes of their configured addresses.
func (w *Environment) addr(c, d byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, c, d})
}

func (w *Environment) moveToNetwork(c modeler.Configuration) modeler.Configuration {
	services := append([]modeler.Service(nil), c.Services...)
	for i := range services {
		searchers := append([]modeler.Searcher(nil), services[i].Searchers...)
		for k := range searchers {
			old := searchers[k].Address.Addr().As4()
			searchers[k].Address = netip.AddrPortFrom(w.addr(old[2], old[3]), searchers[k].Address.Port())
		}
		services[i].Searchers = searchers
	}
	c.Services = services
	return c
}

func (w *Environment) collectFailureDomains() {
	seen := map[modeler.FailureDomain]bool{}
	for _, s := range w.Configuration.Services {
		for _, r := range s.Searchers {
			if !seen[r.FailureDomain] {
				seen[r.FailureDomain] = true
				w.failureDomains = append(w.failureDomains, r.FailureDomain)
			}
		}
	}
}

// startSearcher starts a searcher whose answers to callers from other failure domains are late by both ways of the link.
func (w *Environment) startSearcher(ctx context.Context, service modeler.Service, r modeler.Searcher, shape EnvironmentConfig) error {
	searcher := &Searcher{
		Service: service, Searcher: r, record: w.Record,
		networkDelay: func(from netip.Addr) time.Duration {
			if w.domainByAddr[from] == r.FailureDomain {
				return 0
			}
			return 2 * shape.LinkDelay
		},
		behaviour:     Behaviour{ServiceTime: shape.ServiceTime},
		heldSnapshots: map[modeler.IndexName][]modeler.Snapshot{},
		slots:         make(chan struct{}, service.Contract.Slots),
		random:        rand.New(rand.NewPCG(shape.Seed, uint64(len(w.Searchers)))),
	}
	for _, x := range w.Configuration.Indexes {
		searcher.heldSnapshots[x.Name] = x.Snapshots
	}
	w.Searchers = append(w.Searchers, searcher)
	return searcher.Start(ctx)
}

// Stop stops all stand-ins and waits for their end.
func (w *Environment) Stop() {
	for _, s := range w.Searchers {
		if s.cancel != nil {
			s.Stop()
		}
	}
	w.Platform.Stop()
}

// Settings returns the settings of the n-th VM, counted from 1. The VMs are spread evenly over the failure domains.
func (w *Environment) Settings(n int) runner.Settings {
	a := w.addr(0, byte(n))
	s := runner.Settings{
		Name:          modeler.VMName(fmt.Sprintf("entry-%d", n)),
		FailureDomain: w.vmDomain(n),
		Listen: runner.Listen{
			Callers: netip.AddrPortFrom(a, 8080), Operators: netip.AddrPortFrom(a, 8081), Peers: netip.AddrPortFrom(a, 8082),
		},
		Platform:   w.Platform.Address,
		Peers:      []netip.AddrPort{netip.AddrPortFrom(w.addr(0, 1), 8082), netip.AddrPortFrom(w.addr(0, 2), 8082)},
		Keys:       []string{"a shared key of the stand-ins"},
		Token:      "operators",
		Links:      w.Links,
		DrainDelay: modeler.Duration{Duration: 300 * time.Millisecond},
	}
	_ = s.Check() // fills in the defaults
	return s
}

// PublishListing replaces the platform's list of VMs by the VMs with the given settings.
func (w *Environment) PublishListing(settings ...runner.Settings) {
	l := modeler.Listing{}
	for _, s := range settings {
		l.VMs = append(l.VMs, modeler.VM{Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain})
	}
	w.Platform.SetListing(l)
}

// SearchersOf returns the searchers of a service.
func (w *Environment) SearchersOf(service modeler.ServiceName) []*Searcher {
	var out []*Searcher
	for _, s := range w.Searchers {
		if s.Service.Name == service {
			out = append(out, s)
		}
	}
	return out
}

// ChangeAll applies f to the behaviour of all searchers.
func (w *Environment) ChangeAll(f func(*Behaviour)) {
	for _, s := range w.Searchers {
		s.Change(f)
	}
}
