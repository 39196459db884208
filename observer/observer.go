package observer

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Observer owns what one VM believes of all searchers and services.
type Observer struct {
	mu         sync.Mutex
	searchers  map[netip.AddrPort]*Searcher
	services   map[modeler.ServiceName]*Service
	generation atomic.Uint64
}

// NewObserver makes an observer that knows nothing.
func NewObserver() *Observer {
	return &Observer{searchers: map[netip.AddrPort]*Searcher{}, services: map[modeler.ServiceName]*Service{}}
}

// Searcher returns what is believed of the searcher at the address.
func (o *Observer) Searcher(a netip.AddrPort) *Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.searchers[a]
	if s == nil {
		s = &Searcher{
			latency: float64(InitialLatency),
			held:    map[modeler.IndexName][]modeler.SnapshotID{},
			news:    func() { o.generation.Add(1) },
		}
		o.searchers[a] = s
	}
	return s
}

// Service returns what is believed of the service.
func (o *Observer) Service(n modeler.ServiceName) *Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[n]
	if s == nil {
		s = NewService()
		o.services[n] = s
	}
	return s
}

// Keep forgets the searchers and services that keep and keepService do not name.
func (o *Observer) Keep(keep map[netip.AddrPort]bool, keepService map[modeler.ServiceName]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.searchers {
		if !keep[a] {
			delete(o.searchers, a)
		}
	}
	for n := range o.services {
		if !keepService[n] {
			delete(o.services, n)
		}
	}
}

// Generation rises whenever a belief changes that decides which snapshot can be pinned.
func (o *Observer) Generation() uint64 { return o.generation.Load() }
