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
	mu             sync.Mutex
	inflight       int
	latency        float64
	learnedAt      time.Time
	failures       int
	ejectedUntil   time.Time
	ejections      int
	drainingUntil  time.Time
	drainingSince  time.Time
	slowStartAt    time.Time
	snapshotsKnown bool
	snapshots      map[modeler.IndexName][]modeler.SnapshotID
	generation     *atomic.Uint64
	name           modeler.SearcherName
	startedAt      time.Time
	service        *Service
	waitingSince   time.Time
	slowAnswers    int
	lastSlow       time.Time
	refusals       float64
	lastRefusal    time.Time
}

// setService sets the service whose usual latency is expected while little is known of the searcher.
func (s *Searcher) setService(service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
}

// Begin counts an attempt under way.
func (s *Searcher) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight == 0 {
		s.waitingSince = now
	}
	s.inflight++
}

// Answered ends an attempt that was answered after the latency.
func (s *Searcher) Answered(now time.Time, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.failures = 0
	s.ejections = 0
	s.waitingSince = now
	s.refusals -= RefusalWeight * s.refusals
	s.updateLatency(now, float64(latency))
}

// Stalled reports whether attempts are under way and none was answered for longer than the limit.
func (s *Searcher) Stalled(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight > 0 && now.Sub(s.waitingSince) > limit
}

// Warming records that the searcher is slow until the time, for it has just started.
func (s *Searcher) Warming(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowStartAt = until.Add(-SlowStart)
}

// Cancelled ends an attempt that was given up after the time; the searcher is slower than that.
func (s *Searcher) Cancelled(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if slow := CensoredFactor * float64(after); slow > s.latency {
		s.latency, s.learnedAt = slow, now
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
	s.ejectedUntil = now.Add(min(EjectMax, EjectBase<<min(s.ejections, 10)))
	s.ejections++
	s.slowStartAt = s.ejectedUntil
	s.generation.Add(1)
}

// Shed ends an attempt that the searcher refused because of its load.
func (s *Searcher) Shed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.refusals = s.refusalShare(now)
	s.refusals += RefusalWeight * (1 - s.refusals)
	s.lastRefusal = now
}

// refusalShare returns the share of attempts that the searcher is expected to refuse.
func (s *Searcher) refusalShare(now time.Time) float64 {
	return s.refusals * math.Exp(-float64(max(0, now.Sub(s.lastRefusal)))/float64(RefusalDecay))
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
	fresh := !now.Before(s.drainingUntil)
	if fresh {
		s.drainingSince = now
	}
	s.drainingUntil = now.Add(DrainingMemory)
	if fresh {
		s.generation.Add(1)
	}
	return fresh
}

// Returned records that the searcher answered work that was sent after it was believed to be leaving; an answer to earlier work says nothing.
func (s *Searcher) Returned(now, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.drainingUntil) && sent.After(s.drainingSince) {
		s.drainingUntil = now
		s.slowStartAt = now
		s.generation.Add(1)
	}
}

// Draining reports whether the searcher is believed to be leaving.
func (s *Searcher) Draining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.drainingUntil)
}

// Ejected reports whether the searcher is ejected for repeated failures.
func (s *Searcher) Ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.ejectedUntil)
}

// Holds records the snapshots of an index that the searcher says it holds.
func (s *Searcher) Holds(index modeler.IndexName, ids []modeler.SnapshotID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotsKnown = true
	if slices.Equal(s.snapshots[index], ids) {
		return
	}
	if s.snapshots == nil {
		s.snapshots = make(map[modeler.IndexName][]modeler.SnapshotID, 1)
	}
	s.snapshots[index] = slices.Clone(ids)
	s.generation.Add(1)
}

// Held reports whether the searcher is known to hold the snapshot, and whether anything is known.
func (s *Searcher) Held(index modeler.IndexName, id modeler.SnapshotID) (holds, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids, ok := s.snapshots[index]
	return slices.Contains(ids, id), ok || s.snapshotsKnown
}

// Cost returns the expected time to answer one more attempt, the measure by which replicas are compared.
func (s *Searcher) Cost(now time.Time, slots int, link time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := 1 + float64(s.inflight)/float64(max(1, slots))
	cost := s.expectedLatency(now)*queue + float64(link) + s.refusalShare(now)*float64(RefusalCost)
	if warm := now.Sub(s.slowStartAt); warm >= 0 && warm < SlowStart {
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
	held := make(map[modeler.IndexName][]modeler.SnapshotID, len(s.snapshots))
	for k, v := range s.snapshots {
		held[k] = v
	}
	return State{s.inflight, modeler.Duration{Duration: time.Duration(s.latency)}, now.Before(s.drainingUntil), now.Before(s.ejectedUntil), held}
}

// updateLatency takes answers by their weight, and much slower ones at once. Where searchers pause, a much slower one counts only when it comes again: a pause delays all attempts that were under way, but none that was sent after it.
func (s *Searcher) updateLatency(now time.Time, latency float64) {
	defer func() { s.learnedAt = now }()
	peak := PeakFactor * s.latency
	if s.service != nil {
		peak = PeakFactor * s.expectedLatency(now)
	}
	if latency <= peak {
		s.slowAnswers = 0
		s.latency += LatencyWeight * (latency - s.latency)
		return
	}
	if s.service != nil && s.slowAnswers > 0 && now.Add(-time.Duration(latency)).Before(s.lastSlow) {
		return
	}
	s.slowAnswers++
	s.lastSlow = now
	if s.service != nil && s.slowAnswers < SlowAnswers {
		s.latency += LatencyWeight * (peak - s.latency)
		return
	}
	s.latency = latency
}

// expectedLatency returns the latency, which is forgotten while nothing is learned, so that a searcher that was slow is tried again.
func (s *Searcher) expectedLatency(now time.Time) float64 {
	idle := max(0, now.Sub(s.learnedAt))
	base := float64(InitialLatency)
	if s.service != nil {
		base = s.service.Typical()
	}
	return base + (s.latency-base)*math.Exp(-float64(idle)/float64(LatencyDecay))
}
