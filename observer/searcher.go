package observer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Searcher holds what one VM knows of one searcher.
type Searcher struct {
	mu             sync.Mutex
	inflight       int
	latency        float64   // moving average, in nanoseconds
	latencyAt      time.Time // when latency was updated last
	failures       int       // in a row
	ejectedUntil   time.Time
	ejections      int // since the last answer
	drainingUntil  time.Time
	leaving        bool      // as the searcher itself said
	usableUntil    time.Time // see SetUsableUntil
	gone           bool      // another searcher or incarnation has the address, or the registration was dropped
	registered     bool      // there was a registration; only the observer uses it, under its lock
	backoffUntil   time.Time // until when the searcher asked for no requests
	penaltyStart   time.Time // the cost is raised from this time on for SlowStart
	snapshotsKnown bool      // the searcher has reported the snapshots of some index
	snapshots      map[modeler.IndexName][]modeler.SnapshotID
	generation     *atomic.Uint64 // of the Observer
	name           modeler.SearcherName
	startedAt      time.Time
	joined         modeler.ServiceName // the service of the searcher; empty before Join
	service        *Service            // whose typical latency is expected; nil without WithPauses and before Join
	waitingSince   time.Time           // last answer, or the start of an attempt while no other was under way
	slowAnswers    int                 // in a row
	lastSlow       time.Time
	slowness       slowDetector
	report         slowReport
	limit          statedLimit
	refusals       float64 // share of attempts refused, a moving average as of lastRefusal
	lastRefusal    time.Time
}

// setService sets the service whose typical latency is expected of a searcher with few recent answers.
func (s *Searcher) setService(service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
}

// Begin records the start of an attempt.
func (s *Searcher) Begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight == 0 {
		s.waitingSince = now
	}
	s.inflight++
	if s.service != nil {
		s.service.countAttempt(now)
	}
}

// Answered records the end of an attempt that was answered after the given latency.
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

// Stalled reports whether attempts are under way and none has been answered for longer than limit.
func (s *Searcher) Stalled(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight > 0 && now.Sub(s.waitingSince) > limit
}

// SetSlowUntil records that the searcher has started and is slow until the given time. Its cost is raised only in the
// last SlowStart before that time, so the start of that period is computed back from its end.
func (s *Searcher) SetSlowUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.penaltyStart = until.Add(-SlowStart)
}

// Cancelled records the end of an attempt that was given up after the given time.
// The searcher is slower than that, so a larger latency is assumed.
func (s *Searcher) Cancelled(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	if assumed := CensoredFactor * float64(after); assumed > s.latency {
		s.latency, s.latencyAt = assumed, now
	}
}

// Failed records the end of an attempt that failed. EjectAfter failures in a row eject the searcher, each time for
// twice as long, up to EjectMax. A single failure does so if the searcher is unreachable: it could not be connected
// to, or another searcher has taken over its address.
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
	s.penaltyStart = s.ejectedUntil
	s.generation.Add(1)
}

// Shed records the end of an attempt that the searcher refused because of its load.
func (s *Searcher) Shed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	s.refusals = s.refusalShare(now)
	s.refusals += RefusalWeight * (1 - s.refusals)
	s.lastRefusal = now
}

// refusalShare returns the share of attempts that the searcher is expected to refuse. It decays after the last refusal.
func (s *Searcher) refusalShare(now time.Time) float64 {
	return s.refusals * math.Exp(-float64(max(0, now.Sub(s.lastRefusal)))/float64(RefusalDecay))
}

// Ended records the end of an attempt that shows nothing about the searcher's health.
func (s *Searcher) Ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
}

// MarkDraining records a report that the searcher is draining, and reports whether this is new. No answer ends the
// draining: attempts go only to searchers that do not drain, so each was assigned before the report.
func (s *Searcher) MarkDraining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !now.Before(s.drainingUntil)
	s.drainingUntil = now.Add(DrainingMemory)
	if isNew {
		s.generation.Add(1)
	}
	return isNew
}

// Draining reports whether the searcher counts as draining.
func (s *Searcher) Draining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || now.Before(s.drainingUntil)
}

// Ejected reports whether the searcher is ejected because of failures.
func (s *Searcher) Ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.ejectedUntil)
}

// SetSnapshots records which snapshots of an index the searcher reports that it holds.
func (s *Searcher) SetSnapshots(index modeler.IndexName, ids []modeler.SnapshotID) {
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

// HoldsSnapshot reports whether the searcher holds the snapshot, and whether that is known:
// whether it has reported its snapshots of this or any other index.
func (s *Searcher) HoldsSnapshot(index modeler.IndexName, id modeler.SnapshotID) (holds, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids, ok := s.snapshots[index]
	return slices.Contains(ids, id), ok || s.snapshotsKnown
}

// Cost returns the expected time in nanoseconds to answer one more attempt, by which replicas are compared.
// slots is how many attempts the searcher runs at once, networkDelay the time to reach it and back.
func (s *Searcher) Cost(now time.Time, slots int, networkDelay time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := 1 + float64(s.inflight)/float64(max(1, slots))
	cost := max(s.expectedLatency(now), s.reportedLatency(now))*queue + float64(networkDelay) + s.refusalShare(now)*float64(RefusalCost)
	if since := now.Sub(s.penaltyStart); since >= 0 && since < SlowStart {
		cost *= ColdPenalty - (ColdPenalty-1)*float64(since)/float64(SlowStart)
	}
	return cost
}

// State is a copy of a Searcher's state for operators.
type State struct {
	InFlight int                                        `json:"in-flight"`
	Latency  modeler.Duration                           `json:"latency"`
	Draining bool                                       `json:"draining"`
	Ejected  bool                                       `json:"ejected"`
	Held     map[modeler.IndexName][]modeler.SnapshotID `json:"snapshots-held,omitempty"`
}

// CurrentState returns a copy of the current state.
func (s *Searcher) CurrentState(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[modeler.IndexName][]modeler.SnapshotID, len(s.snapshots))
	for k, v := range s.snapshots {
		held[k] = v
	}
	return State{s.inflight, modeler.Duration{Duration: time.Duration(s.latency)}, s.leaving || now.Before(s.drainingUntil), now.Before(s.ejectedUntil), held}
}

// updateLatency adds an answer's latency to the moving average. An answer is slow if its latency is more than
// PeakFactor times the average, or with WithPauses the expected latency. A slow answer replaces the average at once;
// with WithPauses it does from the SlowAnswers-th in a row on, and an earlier one counts as PeakFactor times the
// expected latency. A pause delays all attempts that are under way, but none sent after it. So with WithPauses a
// further slow answer is left out of the average and of the count if its attempt was sent before the last slow
// answer came.
func (s *Searcher) updateLatency(now time.Time, latency float64) {
	defer func() { s.latencyAt = now }()
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

// expectedLatency returns the average latency, which returns to a base while no answer comes, so that a searcher that
// was slow is tried again. The base is InitialLatency, or with WithPauses the typical latency of the service.
func (s *Searcher) expectedLatency(now time.Time) float64 {
	age := max(0, now.Sub(s.latencyAt))
	base := float64(InitialLatency)
	if s.service != nil {
		base = s.service.TypicalLatency()
	}
	return base + (s.latency-base)*math.Exp(-float64(age)/float64(LatencyDecay))
}
