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

// Key is the key under which a world publishes its configuration.
const Key = "teams"

// World is a whole deployment of stand-ins round the VMs of the tier.
type World struct {
	Platform      *Platform
	Record        *Record
	Searchers     []*Searcher
	Configuration modeler.Configuration
	Links         []modeler.Link
	network       uint8
	domains       map[netip.Addr]modeler.FailureDomain
	names         []modeler.FailureDomain
}

// Shape is what a world is made of.
type Shape struct {
	Network       uint8
	Configuration modeler.Configuration
	Link          time.Duration
	Service       time.Duration
	Seed          uint64
}

// StartWorld moves the searchers of a configuration to the network 127.N, starts stand-ins for them and publishes the configuration.
func StartWorld(ctx context.Context, shape Shape) (*World, error) {
	w := &World{Record: &Record{}, network: shape.Network, domains: map[netip.Addr]modeler.FailureDomain{}}
	w.Configuration = w.move(shape.Configuration)
	w.nameDomains()
	for n := 1; n < 100; n++ {
		w.domains[w.addr(0, byte(n))] = w.domainOf(n)
	}
	for i, a := range w.names {
		for _, b := range w.names[i+1:] {
			w.Links = append(w.Links, modeler.Link{From: a, To: b, Delay: modeler.Duration{Duration: shape.Link}})
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
	_, err = w.Platform.PublishConfiguration(Key, w.Configuration)
	return w, err
}

// domainOf returns the failure domain of the n-th VM.
func (w *World) domainOf(n int) modeler.FailureDomain { return w.names[(n-1)%len(w.names)] }

func (w *World) addr(c, d byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.network, c, d}) }

func (w *World) move(c modeler.Configuration) modeler.Configuration {
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

func (w *World) nameDomains() {
	seen := map[modeler.FailureDomain]bool{}
	for _, s := range w.Configuration.Services {
		for _, r := range s.Searchers {
			if !seen[r.FailureDomain] {
				seen[r.FailureDomain] = true
				w.names = append(w.names, r.FailureDomain)
			}
		}
	}
}

func (w *World) startSearcher(ctx context.Context, s modeler.Service, r modeler.Searcher, shape Shape) error {
	f := &Searcher{
		Service: s, Searcher: r, record: w.Record,
		delay: func(from netip.Addr) time.Duration {
			if w.domains[from] == r.FailureDomain {
				return 0
			}
			return 2 * shape.Link
		},
		conduct: Conduct{Service: shape.Service},
		held:    map[modeler.IndexName][]modeler.Snapshot{},
		slots:   make(chan struct{}, s.Contract.Slots),
		random:  rand.New(rand.NewPCG(shape.Seed, uint64(len(w.Searchers)))),
	}
	for _, x := range w.Configuration.Indexes {
		f.held[x.Name] = x.Snapshots
	}
	w.Searchers = append(w.Searchers, f)
	return f.Start(ctx)
}

// Stop ends all stand-ins.
func (w *World) Stop() {
	for _, s := range w.Searchers {
		if s.end != nil {
			s.Stop()
		}
	}
	w.Platform.Stop()
}

// Settings returns the settings of the n-th VM, counted from 1, spread over the failure domains.
func (w *World) Settings(n int) runner.Settings {
	a := w.addr(0, byte(n))
	s := runner.Settings{
		Name:          modeler.VMName(fmt.Sprintf("entry-%d", n)),
		FailureDomain: w.domainOf(n),
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
	_ = s.Check()
	return s
}

// List puts the VMs with the settings on the platform's list.
func (w *World) List(settings ...runner.Settings) {
	l := modeler.Listing{}
	for _, s := range settings {
		l.VMs = append(l.VMs, modeler.VM{Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain})
	}
	w.Platform.SetListing(l)
}

// Of returns the searchers of a service.
func (w *World) Of(service modeler.ServiceName) []*Searcher {
	var out []*Searcher
	for _, s := range w.Searchers {
		if s.Service.Name == service {
			out = append(out, s)
		}
	}
	return out
}

// Change changes how all searchers behave.
func (w *World) Change(f func(*Conduct)) {
	for _, s := range w.Searchers {
		s.Change(f)
	}
}
