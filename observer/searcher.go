package observer

import (
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Searcher is what one VM believes of one searcher.
type Searcher struct {
	mu       sync.Mutex
	inflight int
	latency  float64
	failures int
	ejected  time.Time
	ejects   int
	draining time.Time
	since    time.Time
	cold     time.Time
	told     bool
	held     map[modeler.IndexName][]modeler.SnapshotID
	news     func()
}

// Begin counts an attempt under way.
func (s *Searcher) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight++
}

// Answered ends an attempt that was answered after the latency.
func (s *Searcher) Answered(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.failures = 0
	s.ejects = 0
	s.learn(latency)
}

// Cancelled ends an attempt that was given up after the time; the searcher is at least that slow.
func (s *Searcher) Cancelled(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if float64(after) > s.latency {
		s.learn(after)
	}
}

// Failed ends an attempt that failed; EjectAfter in a row eject the searcher for a time that doubles.
func (s *Searcher) Failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.failures++
	if s.failures < EjectAfter {
		return
	}
	s.failures = 0
	s.ejected = now.Add(min(EjectMax, EjectBase<<min(s.ejects, 10)))
	s.ejects++
	s.cold = s.ejected
	s.news()
}

// Ended ends an attempt that says nothing of the searcher's health.
func (s *Searcher) Ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
}

// Drain records that the searcher is leaving, and reports whether that was not known.
func (s *Searcher) Drain(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !now.Before(s.draining)
	if fresh {
		s.since = now
	}
	s.draining = now.Add(DrainingMemory)
	if fresh {
		s.news()
	}
	return fresh
}

// Returned records that the searcher itself answered new work after it was believed to be leaving.
func (s *Searcher) Returned(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.draining) {
		s.draining = now
		s.cold = now
		s.news()
	}
}

// Draining reports whether the searcher is believed to be leaving.
func (s *Searcher) Draining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.draining)
}

// Ejected reports whether the searcher is ejected for repeated failures.
func (s *Searcher) Ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.ejected)
}

// Holds records the snapshots of an index that the searcher says it holds.
func (s *Searcher) Holds(index modeler.IndexName, ids []modeler.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = true
	if slices.Equal(s.held[index], ids) {
		return
	}
	s.held[index] = slices.Clone(ids)
	s.news()
}

// Held reports whether the searcher is known to hold the snapshot, and whether anything is known.
func (s *Searcher) Held(index modeler.IndexName, id modeler.SnapshotID) (holds, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids, ok := s.held[index]
	return slices.Contains(ids, id), ok || s.told
}

// Cost returns the expected time to answer one more attempt, the measure by which replicas are compared.
func (s *Searcher) Cost(now time.Time, slots int, link time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := 1 + float64(s.inflight)/float64(max(1, slots))
	cost := s.latency*queue + float64(link)
	if warm := now.Sub(s.cold); warm >= 0 && warm < SlowStart {
		cost *= ColdPenalty - (ColdPenalty-1)*float64(warm)/float64(SlowStart)
	}
	return cost
}

// State is a readable copy of what is believed.
type State struct {
	InFlight int                                        `json:"in-flight"`
	Latency  modeler.Duration                           `json:"latency"`
	Draining bool                                       `json:"draining"`
	Ejected  bool                                       `json:"ejected"`
	Held     map[modeler.IndexName][]modeler.SnapshotID `json:"snapshots-held,omitempty"`
}

// Snapshot returns a readable copy of what is believed now.
func (s *Searcher) Snapshot(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[modeler.IndexName][]modeler.SnapshotID, len(s.held))
	for k, v := range s.held {
		held[k] = v
	}
	return State{s.inflight, modeler.Duration{Duration: time.Duration(s.latency)}, now.Before(s.draining), now.Before(s.ejected), held}
}

func (s *Searcher) learn(latency time.Duration) {
	s.latency += LatencyWeight * (float64(latency) - s.latency)
}
