package observer

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Observer holds what one VM knows of all searchers and services.
type Observer struct {
	mu           sync.Mutex
	searchers    map[netip.AddrPort][]*Searcher
	services     map[modeler.ServiceName]*Service
	departed     map[incarnation]departed
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
	o := &Observer{
		searchers: map[netip.AddrPort][]*Searcher{}, services: map[modeler.ServiceName]*Service{}, departed: map[incarnation]departed{},
	}
	for _, set := range options {
		set(o)
	}
	return o
}

// At returns the states of the searchers at the address, of which there are several if entries of others name the same
// address. It creates one without a name if there is none.
func (o *Observer) At(a netip.AddrPort) []*Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.searchers[a]) == 0 {
		o.searchers[a] = []*Searcher{o.newSearcher(float64(InitialLatency))}
	}
	return slices.Clone(o.searchers[a])
}

// AtBefore returns the states of At without those of searchers that started after the given time.
func (o *Observer) AtBefore(a netip.AddrPort, t time.Time) []*Searcher {
	states := o.At(a)
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(states, func(s *Searcher) bool { return s.startedAt.After(t) })
}

func (o *Observer) newSearcher(latency float64) *Searcher {
	return &Searcher{latency: latency, generation: &o.generation}
}

// Join returns the state of the named searcher, which belongs to the service and has run since startedAt.
// An earlier state of that name at the address is discarded if it has another start time (another incarnation) or another
// service; no request that was assigned by it is sent any more, see MaySend. What the searcher said of itself is known
// again if its entry comes back within DepartedMemory. A state that At created has no name and the
// zero start time until Join sets them, so it is discarded too unless startedAt is zero.
func (o *Observer) Join(a netip.AddrPort, name modeler.SearcherName, startedAt time.Time, service *Service) *Searcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.find(a, name)
	if s == nil || !s.isIncarnation(startedAt, service) {
		s = o.begin(a, s, incarnation{a, name, service.name, startedAt.UnixMicro()}, service)
	}
	s.name, s.startedAt, s.joined = name, startedAt, service.name
	if o.expectPauses {
		s.setService(service)
	}
	return s
}

// find returns the state of that name at the address, or one without a name, or nil.
func (o *Observer) find(a netip.AddrPort, name modeler.SearcherName) *Searcher {
	for _, s := range o.searchers[a] {
		if s.name == name || s.name == "" {
			return s
		}
	}
	return nil
}

// newJoined returns a new state of a searcher of the service.
func (o *Observer) newJoined(service *Service) *Searcher {
	if o.expectPauses {
		return o.newSearcher(service.TypicalLatency())
	}
	return o.newSearcher(float64(InitialLatency))
}

// begin sets and returns the state of an incarnation in place of old, or beside the others at the address if old is nil.
func (o *Observer) begin(a netip.AddrPort, old *Searcher, i incarnation, service *Service) *Searcher {
	next := o.recall(i)
	if next == nil {
		next = o.newJoined(service)
		if old != nil && old.isAfter(i) {
			next.takeWord(time.Now(), old)
		}
	}
	o.replace(a, old, next)
	return next
}

// replace sets a state in place of old, or beside the others at the address if old is nil.
func (o *Observer) replace(a netip.AddrPort, old, next *Searcher) {
	if old == nil {
		o.searchers[a] = append(o.searchers[a], next)
		return
	}
	old.markGone()
	o.remember(a, old)
	states := o.searchers[a]
	states[slices.Index(states, old)] = next
}

// isIncarnation reports whether the state is that of a searcher which belongs to the service and has run since startedAt.
// Only Join writes the fields that it compares, and it holds the observer's lock.
func (s *Searcher) isIncarnation(startedAt time.Time, service *Service) bool {
	return s.startedAt.Equal(startedAt) && (s.joined == "" || s.joined == service.name)
}

// Register applies a registration to the state of its searcher, also if the view lacks the searcher's service: until when
// a searcher that leaves may be sent requests, and until when one that has just started is slow.
func (o *Observer) Register(r modeler.Registration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.find(r.Searcher.Address, r.Searcher.Name)
	if s == nil {
		return
	}
	if s.joined != "" && s.joined != r.Service {
		s.markGone() // the searcher belongs to another service now
		return
	}
	s.registered = true
	s.SetUsableUntil(r.UsableUntil)
	if r.WarmUp > 0 {
		s.SetSlowUntil(r.ReceivedAt.Add(r.WarmUp))
	}
}

// Service returns the state of the service, and creates it if needed.
func (o *Observer) Service(n modeler.ServiceName) *Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[n]
	if s == nil {
		s = NewService()
		s.name = n
		o.services[n] = s
	}
	return s
}

// Keep discards the state of searchers for which the function returns false, and of services that are not in the map. A
// discarded searcher that was registered, or whose address others have kept, is sent no requests any more.
func Keep[T any](o *Observer, keep func(a netip.AddrPort, name modeler.SearcherName) bool, services map[modeler.ServiceName]T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a, states := range o.searchers {
		kept := slices.DeleteFunc(slices.Clone(states), func(s *Searcher) bool { return !keep(a, s.name) })
		if len(kept) == len(states) {
			continue
		}
		for _, s := range states {
			if slices.Contains(kept, s) {
				continue
			}
			if s.registered || len(kept) > 0 {
				s.markGone()
			}
			o.remember(a, s)
		}
		o.searchers[a] = kept
		if len(kept) == 0 {
			delete(o.searchers, a)
		}
	}
	o.forget(time.Now())
	maps.DeleteFunc(o.services, func(n modeler.ServiceName, _ *Service) bool { _, ok := services[n]; return !ok })
}

// Generation returns a counter that rises when a searcher is ejected, is reported as draining, is back from draining
// or reports other snapshots. planner.View.Pin, which selects the snapshot that a query reads, reuses an earlier
// choice only while the counter is unchanged.
func (o *Observer) Generation() uint64 { return o.generation.Load() }
