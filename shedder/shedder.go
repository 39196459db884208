package shedder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Shedder detects which services are overloaded, from the answers to the queries of one VM.
type Shedder struct {
	mu       sync.Mutex
	services map[modeler.ServiceName]*service
}

// Change reports that a service became overloaded, or no longer is.
type Change struct {
	Service      modeler.ServiceName
	Overloaded   bool
	QueueShare   float64       // least queue share of the latest answers
	LeftOutShare float64       // share of queries that leave the service out
	Base         time.Duration // time to answer without a queue
}

// NewShedder returns a shedder without any answers, for which no service is overloaded.
func NewShedder() *Shedder {
	return &Shedder{services: map[modeler.ServiceName]*service{}}
}

// Observe records the latency of a shard's answer, without the network round trip, and the limit, the time from the
// query's start to its patience (see gatherer.Plan). For a shard that did not answer, the caller passes all the time that
// the query waited.
func (s *Shedder) Observe(now time.Time, name modeler.ServiceName, latency, limit time.Duration) {
	s.mu.Lock()
	x := s.services[name]
	if x == nil {
		x = &service{}
		s.services[name] = x
	}
	x.observe(now, latency, limit)
	s.mu.Unlock()
}

// Changes returns the services that have become overloaded since the previous call, or are no longer so.
func (s *Shedder) Changes(now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for name, x := range s.services {
		if leftOut := x.leftOutShare(now); x.reported != (leftOut > 0) {
			x.reported = leftOut > 0
			out = append(out, Change{name, x.reported, x.minQueueShare(now), leftOut, x.base.value()})
		}
	}
	return out
}

// Overloaded reports whether a service is overloaded, so that an extra attempt there would only lengthen its queue.
func (s *Shedder) Overloaded(now time.Time, name modeler.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.services[name]
	return x != nil && x.leftOutShare(now) > 0
}

// LeaveOut returns the positions in names of the services that a query leaves out, at most limit. Only overloaded
// services are left out; the longer the queue of a service, the more queries leave it out. If there are more candidates
// than limit, those with the most credit are left out; the others keep their credit for later queries.
func (s *Shedder) LeaveOut(now time.Time, names []modeler.ServiceName, limit int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []int
	for i, name := range names {
		if x := s.services[name]; x != nil && x.addQuery(now) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(s.services[names[b]].credit, s.services[names[a]].credit)
	})
	candidates = candidates[:min(len(candidates), max(0, limit))]
	for _, i := range candidates {
		s.services[names[i]].credit--
	}
	return candidates
}

// Keep drops the state of all services for which exists returns false.
func (s *Shedder) Keep(exists func(modeler.ServiceName) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		if !exists(name) {
			delete(s.services, name)
		}
	}
}
