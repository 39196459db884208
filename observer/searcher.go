package observer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Searcher is what one VM knows of one searcher.
type Searcher struct {
	mu       sync.Mutex
	inflight int
	latency  float64
	learned  time.Time
	failures int
	ejected  time.Time
	ejects   int
	draining time.Time
	since    time.Time
	cold     time.Time
	told     bool
	held     map[modeler.IndexName][]modeler.SnapshotID
	news     *atomic.Uint64
	name     modeler.SearcherName
	born     time.Time
	service  *Service
	waiting  time.Time
	slow     int
	slowAt   time.Time
	refusing float64
	refused  time.Time
}

// belongTo sets the service whose usual latency is expected while little is known of the searcher.
func (s *Searcher) belongTo(service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
}

// Begin counts an attempt under way.
func (s *Searcher) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight == 0 {
		s.waiting = now
	}
	s.inflight++
}

// Answered ends an attempt that was answered after the latency.
func (s *Searcher) Answered(now time.Time, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.failures = 0
	s.ejects = 0
	s.waiting = now
	s.refusing -= RefusalWeight * s.refusing
	s.learn(now, float64(latency))
}

// Stalled reports whether attempts are under way and none was answered for longer than the limit.
func (s *Searcher) Stalled(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight > 0 && now.Sub(s.waiting) > limit
}

// Warming records that the searcher is slow until the time, for it has just started.
func (s *Searcher) Warming(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = until.Add(-SlowStart)
}

// Cancelled ends an attempt that was given up after the time; the searcher is slower than that.
func (s *Searcher) Cancelled(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if slow := CensoredFactor * float64(after); slow > s.latency {
		s.latency, s.learned = slow, now
	}
}

// Failed ends an attempt that failed; EjectAfter in a row, or one that found no connection, eject the searcher for a time that doubles.
func (s *Searcher) Failed(now time.Time, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.failures++
	if s.failures < EjectAfter && !unreachable {
		return
	}
	s.failures = 0
	s.ejected = now.Add(min(EjectMax, EjectBase<<min(s.ejects, 10)))
	s.ejects++
	s.cold = s.ejected
	s.news.Add(1)
}

// Shed ends an attempt that the searcher refused because of its load.
func (s *Searcher) Shed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.refusing = s.refusals(now)
	s.refusing += RefusalWeight * (1 - s.refusing)
	s.refused = now
}

// refusals returns the share of attempts that the searcher is expected to refuse.
func (s *Searcher) refusals(now time.Time) float64 {
	return s.refusing * math.Exp(-float64(max(0, now.Sub(s.refused)))/float64(ForgetRefusals))
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
		s.news.Add(1)
	}
	return fresh
}

// Returned records that the searcher answered work that was sent after it was believed to be leaving; an answer to earlier work says nothing.
func (s *Searcher) Returned(now, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.draining) && sent.After(s.since) {
		s.draining = now
		s.cold = now
		s.news.Add(1)
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
	if s.held == nil {
		s.held = make(map[modeler.IndexName][]modeler.SnapshotID, 1)
	}
	s.held[index] = slices.Clone(ids)
	s.news.Add(1)
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
	cost := s.expected(now)*queue + float64(link) + s.refusals(now)*float64(RefusalCost)
	if warm := now.Sub(s.cold); warm >= 0 && warm < SlowStart {
		cost *= ColdPenalty - (ColdPenalty-1)*float64(warm)/float64(SlowStart)
	}
	return cost
}

// State is a readable copy of what is known.
type State struct {
	InFlight int                                        `json:"in-flight"`
	Latency  modeler.Duration                           `json:"latency"`
	Draining bool                                       `json:"draining"`
	Ejected  bool                                       `json:"ejected"`
	Held     map[modeler.IndexName][]modeler.SnapshotID `json:"snapshots-held,omitempty"`
}

// Snapshot returns a readable copy of what is known now.
func (s *Searcher) Snapshot(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[modeler.IndexName][]modeler.SnapshotID, len(s.held))
	for k, v := range s.held {
		held[k] = v
	}
	return State{s.inflight, modeler.Duration{Duration: time.Duration(s.latency)}, now.Before(s.draining), now.Before(s.ejected), held}
}

// learn takes answers by their weight, and much slower ones at once. Where searchers pause, a much slower one counts only when it comes again: a pause delays all attempts that were under way, but none that was sent after it.
func (s *Searcher) learn(now time.Time, latency float64) {
	defer func() { s.learned = now }()
	peak := PeakFactor * s.latency
	if s.service != nil {
		peak = PeakFactor * s.expected(now)
	}
	if latency <= peak {
		s.slow = 0
		s.latency += LatencyWeight * (latency - s.latency)
		return
	}
	if s.service != nil && s.slow > 0 && now.Add(-time.Duration(latency)).Before(s.slowAt) {
		return
	}
	s.slow++
	s.slowAt = now
	if s.service != nil && s.slow < SlowAnswers {
		s.latency += LatencyWeight * (peak - s.latency)
		return
	}
	s.latency = latency
}

// expected returns the latency, which is forgotten while nothing is learned, so that a searcher that was slow is tried again.
func (s *Searcher) expected(now time.Time) float64 {
	idle := max(0, now.Sub(s.learned))
	base := float64(InitialLatency)
	if s.service != nil {
		base = s.service.Typical()
	}
	return base + (s.latency-base)*math.Exp(-float64(idle)/float64(ForgetLatency))
}
