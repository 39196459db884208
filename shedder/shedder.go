package shedder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Shedder knows which services are overloaded, as seen by the queries of one VM.
type Shedder struct {
	mu       sync.Mutex
	services map[modeler.ServiceName]*service
}

// Change says that a service became overloaded, or no longer is.
type Change struct {
	Service    modeler.ServiceName
	Overloaded bool
	Queue      float64       // least queueing delay of the latest answers, as a share of the time that their queries had
	LeftOut    float64       // share of queries that leave the service out
	Base       time.Duration // time to answer without a queue
}

// NewShedder makes a shedder that knows of no overload.
func NewShedder() *Shedder {
	return &Shedder{services: map[modeler.ServiceName]*service{}}
}

// Observe takes how long a shard of a query took to answer, without the link, and how long the query could wait for it; a shard that did not answer took all that time.
func (s *Shedder) Observe(now time.Time, name modeler.ServiceName, took, had time.Duration) {
	s.mu.Lock()
	x := s.services[name]
	if x == nil {
		x = &service{}
		s.services[name] = x
	}
	x.observe(now, took, had)
	s.mu.Unlock()
}

// Changes returns the services that became overloaded since it was last asked, or no longer are.
func (s *Shedder) Changes(now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for name, x := range s.services {
		if leftOut := x.leftOut(now); x.told != (leftOut > 0) {
			x.told = leftOut > 0
			out = append(out, Change{name, x.told, x.queue(now), leftOut, x.base.least()})
		}
	}
	return out
}

// Overloaded reports whether the queue of a service takes up so much time that another attempt there would only lengthen it.
func (s *Shedder) Overloaded(now time.Time, name modeler.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.services[name]
	return x != nil && x.leftOut(now) > 0
}

// LeaveOut returns which of the services a query does not ask, at most most of them, each only if it is overloaded and the more often the longer its queue is.
func (s *Shedder) LeaveOut(now time.Time, names []modeler.ServiceName, most int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []int
	for i, name := range names {
		if x := s.services[name]; x != nil && x.isDue(now) {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b int) int {
		return cmp.Compare(s.services[names[b]].due, s.services[names[a]].due)
	})
	due = due[:min(len(due), max(0, most))]
	for _, i := range due {
		s.services[names[i]].due--
	}
	return due
}

// Keep forgets the services that are not named.
func (s *Shedder) Keep(has func(modeler.ServiceName) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.services {
		if !has(name) {
			delete(s.services, name)
		}
	}
}
