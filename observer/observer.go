package observer

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Observer holds what one VM knows of all searchers and services.
type Observer struct {
	mu           sync.Mutex
	searchers    map[netip.AddrPort]*Searcher
	services     map[modeler.ServiceName]*Service
	generation   atomic.Uint64
	expectPauses bool
}

// Option changes an Observer under construction.
type Option func(*Observer)

// WithPauses adapts the observer to searchers that pause now and then. A single slow answer counts in the searcher's
// average latency as at most PeakFactor times the expected latency, which raises an average that equals the expected
// latency by up to 40 %. A searcher without recent answers is expected to be as fast as its service.
func WithPauses() Option { return func(o *Observer) { o.expectPauses = true } }

// NewObserver makes an observer without searchers and services.
func NewObserver(options ...Option) *Observer {
	o := &Observer{searchers: map[netip.AddrPort]*Searcher{}, services: map[modeler.ServiceName]*Service{}}
	for _, set := range options {
		set(o)
	}
	return o
}

// Searcher returns the state of the searcher at the address, and creates it if needed.
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

// Join returns the state of the named searcher, which belongs to the service and has run since startedAt.
// An earlier state at the same address is discarded if it has another name (another searcher), another start time
// (another incarnation) or another service; no request that was assigned by it is sent any more, see MaySend. A state that Searcher created has no name and the zero start time until Join sets them, so it
// is discarded too unless startedAt is zero.
func (o *Observer) Join(a netip.AddrPort, name modeler.SearcherName, startedAt time.Time, service *Service) *Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.searchers[a]
	if s == nil || !s.isIncarnation(name, startedAt, service) {
		if s != nil {
			s.replace()
		}
		s = &Searcher{latency: float64(InitialLatency), generation: &o.generation}
		if o.expectPauses {
			s.latency = service.TypicalLatency()
		}
		o.searchers[a] = s
	}
	s.name, s.startedAt, s.joined = name, startedAt, service
	if o.expectPauses {
		s.setService(service)
	}
	return s
}

// isIncarnation reports whether the state is that of the named searcher, which belongs to the service and has run since
// startedAt. Only Join writes the fields that it compares, and it holds the observer's lock.
func (s *Searcher) isIncarnation(name modeler.SearcherName, startedAt time.Time, service *Service) bool {
	return (s.name == "" || s.name == name) && s.startedAt.Equal(startedAt) && (s.joined == nil || s.joined == service)
}

// Service returns the state of the service, and creates it if needed.
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

// Keep discards the state of searchers and services that are not in the maps, which are those of the current view.
func Keep[T any](o *Observer, searchers map[netip.AddrPort]T, services map[modeler.ServiceName]T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.searchers, func(a netip.AddrPort, _ *Searcher) bool { _, ok := searchers[a]; return !ok })
	maps.DeleteFunc(o.services, func(n modeler.ServiceName, _ *Service) bool { _, ok := services[n]; return !ok })
}

// Generation returns a counter that rises when a searcher is ejected, is reported as draining, is back from draining
// or reports other snapshots. planner.View.Pin, which selects the snapshot that a query reads, reuses an earlier
// choice only while the counter is unchanged.
func (o *Observer) Generation() uint64 { return o.generation.Load() }
