package observer

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Observer owns what one VM knows of all searchers and services.
type Observer struct {
	mu           sync.Mutex
	searchers    map[netip.AddrPort]*Searcher
	services     map[modeler.ServiceName]*Service
	generation   atomic.Uint64
	expectPauses bool
}

// Option changes an Observer under construction.
type Option func(*Observer)

// WithPauses says that searchers pause now and then: one slow answer is then not believed, and a searcher of which little is known is taken to be as fast as its service.
func WithPauses() Option { return func(o *Observer) { o.expectPauses = true } }

// NewObserver makes an observer that knows nothing.
func NewObserver(options ...Option) *Observer {
	o := &Observer{searchers: map[netip.AddrPort]*Searcher{}, services: map[modeler.ServiceName]*Service{}}
	for _, set := range options {
		set(o)
	}
	return o
}

// Searcher returns what is known of the searcher at the address.
func (o *Observer) Searcher(a netip.AddrPort) *Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.searchers[a]
	if s == nil {
		s = &Searcher{
			latency:    float64(InitialLatency),
			generation: &o.generation,
		}
		o.searchers[a] = s
	}
	return s
}

// Join returns what is known of the searcher with the name, which belongs to the service; what was known of another searcher at its address is forgotten.
func (o *Observer) Join(a netip.AddrPort, name modeler.SearcherName, born time.Time, service *Service) *Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.searchers[a]
	if s == nil || (s.name != "" && s.name != name) || !s.startedAt.Equal(born) {
		s = &Searcher{latency: float64(InitialLatency), generation: &o.generation}
		if o.expectPauses {
			s.latency = service.Typical()
		}
		o.searchers[a] = s
	}
	s.name, s.startedAt = name, born
	if o.expectPauses {
		s.setService(service)
	}
	return s
}

// Service returns what is known of the service.
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

// Keep forgets the searchers and services that a view does not have.
func Keep[T any](o *Observer, searchers map[netip.AddrPort]T, services map[modeler.ServiceName]T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.searchers, func(a netip.AddrPort, _ *Searcher) bool { _, ok := searchers[a]; return !ok })
	maps.DeleteFunc(o.services, func(n modeler.ServiceName, _ *Service) bool { _, ok := services[n]; return !ok })
}

// Generation rises whenever something that is known changes that decides which snapshot can be pinned.
func (o *Observer) Generation() uint64 { return o.generation.Load() }
