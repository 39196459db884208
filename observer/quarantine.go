package observer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// goodAnswer is the last answer to a request.
type goodAnswer struct {
	at       time.Time
	snapshot modeler.SnapshotID // 0 if another VM told of the answer
}

func (g goodAnswer) expiry() time.Time { return g.at.Add(KnownGoodPeriod) }

// blocked is the quarantine of a request.
type blocked struct {
	until   time.Time
	trialAt time.Time // when one request is let through; zero if none is
}

func (b blocked) expiry() time.Time { return b.until }

// Quarantine records the requests that crash searchers, those suspected of it, and those that were answered recently. Each
// entry expires.
//
// A request that crashes searchers crashes each one that runs it. So an answer refutes all crashes before it, and ends a
// quarantine. Crashes count by the moments that are needed to explain them (see crashMoments): PoisonMoments lead to
// quarantine, or KnownGoodMoments if the request was answered within KnownGoodPeriod.
type Quarantine struct {
	mu       sync.Mutex
	blocked  map[Fingerprint]blocked
	suspects map[Fingerprint]*suspicion
	good     map[Fingerprint]goodAnswer
}

// NewQuarantine makes an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{blocked: map[Fingerprint]blocked{}, suspects: map[Fingerprint]*suspicion{}, good: map[Fingerprint]goodAnswer{}}
}

// Add quarantines a request until the given time, as another VM has found, and reports whether the request was not
// quarantined before. It never shortens a quarantine. If until is not after now, it changes nothing and returns false. The
// trial of the request is left to the other VM.
func (q *Quarantine) Add(f Fingerprint, now, until time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.block(f, now, blocked{until: until})
}

// Find quarantines a request whose crashes this VM has found to suffice, unless it is quarantined already. It returns until
// when, and whether the request was not quarantined before. One request is let through after TrialDelay, so that a mistake
// does not last.
func (q *Quarantine) Find(f Fingerprint, now time.Time) (until time.Time, isNew bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until = q.blocked[f].until; now.Before(until) {
		return until, false
	}
	until = now.Add(QuarantinePeriod)
	return until, q.block(f, now, blocked{until: until, trialAt: now.Add(TrialDelay)})
}

// block adds a quarantine unless one that ends as late is in force. The caller holds the lock.
func (q *Quarantine) block(f Fingerprint, now time.Time, b blocked) (isNew bool) {
	known := q.blocked[f].until
	if !b.until.After(now) || !b.until.After(known) {
		return false
	}
	makeRoom(q.blocked, f, now, MaxQuarantined)
	q.blocked[f] = b
	return !now.Before(known)
}

// Contains reports whether a request is quarantined.
func (q *Quarantine) Contains(f Fingerprint, now time.Time) bool { return q.Remaining(f, now) > 0 }

// Remaining returns how long a request stays quarantined, or 0 if it is not.
func (q *Quarantine) Remaining(f Fingerprint, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.blocked[f].until.Sub(now))
}

// TakeTrial reports whether a quarantined request may run once to find out whether it still crashes searchers.
func (q *Quarantine) TakeTrial(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.blocked[f]
	if !ok || b.trialAt.IsZero() || now.Before(b.trialAt) {
		return false
	}
	b.trialAt = time.Time{}
	q.blocked[f] = b
	return true
}

// RecordCrashes records crashes of searchers that were running a request, and reports whether all that are known suffice to
// quarantine it. Crashes before the last answer do not count.
func (q *Quarantine) RecordCrashes(f Fingerprint, now time.Time, crashes ...Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[f]
	if s == nil {
		s = &suspicion{}
	}
	s.drop(now.Add(-QuarantinePeriod))
	for _, c := range crashes {
		if c.At.After(q.good[f].at) && now.Sub(c.At) < QuarantinePeriod {
			s.add(c)
		}
	}
	if len(s.moments) == 0 {
		delete(q.suspects, f)
		return false
	}
	makeRoom(q.suspects, f, now, MaxQuarantined)
	q.suspects[f] = s
	if q.answeredLately(f, now) {
		return len(crashMoments(s.moments, CrashSpan)) >= KnownGoodMoments
	}
	return len(s.moments) >= PoisonMoments
}

// IsSuspect reports whether searchers crashed while they ran the request, and it was not answered since.
func (q *Quarantine) IsSuspect(f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspects[f] != nil
}

// HasCrashed reports whether the searcher at the address crashed while it ran the request.
func (q *Quarantine) HasCrashed(f Fingerprint, searcher netip.AddrPort) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.suspects[f] == nil {
		return false
	}
	_, ok := q.suspects[f].searchers[searcher]
	return ok
}

// RecordGood records that a searcher answered the request on a snapshot, and reports whether the request was suspect or
// quarantined.
func (q *Quarantine) RecordGood(f Fingerprint, snapshot modeler.SnapshotID, now time.Time) (wasSuspect bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	makeRoom(q.good, f, now, MaxKnownGood)
	q.good[f] = goodAnswer{now, snapshot}
	wasSuspect = q.suspects[f] != nil || now.Before(q.blocked[f].until)
	delete(q.suspects, f)
	delete(q.blocked, f)
	return wasSuspect
}

// ToldGood records that the request was answered on another VM at the given time, by that VM's time of day.
func (q *Quarantine) ToldGood(f Fingerprint, now, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at = earliest(at, now)
	if !at.After(q.good[f].at) {
		return
	}
	makeRoom(q.good, f, now, MaxKnownGood)
	q.good[f] = goodAnswer{at: at}
	if s := q.suspects[f]; s != nil {
		s.drop(at)
		if len(s.moments) == 0 {
			delete(q.suspects, f)
		}
	}
	if since := q.blocked[f].until.Add(-QuarantinePeriod); at.Add(ToldCrashSpan).After(since) {
		delete(q.blocked, f)
	}
}

// KnownGood reports whether a searcher answered the same request on the same snapshot within KnownGoodPeriod.
func (q *Quarantine) KnownGood(f Fingerprint, snapshot modeler.SnapshotID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answeredLately(f, now) && q.good[f].snapshot == snapshot
}

// AnsweredLately reports whether the request was answered within KnownGoodPeriod.
func (q *Quarantine) AnsweredLately(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answeredLately(f, now)
}

func (q *Quarantine) answeredLately(f Fingerprint, now time.Time) bool {
	g, ok := q.good[f]
	return ok && now.Before(g.expiry())
}

// List returns the quarantined requests and the time until which each is quarantined.
func (q *Quarantine) List(now time.Time) map[Fingerprint]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := map[Fingerprint]time.Time{}
	for f, b := range q.blocked {
		if now.Before(b.until) {
			m[f] = b.until
		}
	}
	return m
}

// makeRoom deletes all expired entries, or the one that expires first if none has expired, if a new entry for the request
// would be beyond the limit.
func makeRoom[V interface{ expiry() time.Time }](m map[Fingerprint]V, f Fingerprint, now time.Time, limit int) {
	if _, ok := m[f]; ok || len(m) < limit {
		return
	}
	var first Fingerprint
	var expiry time.Time
	n := len(m)
	for f, v := range m {
		t := v.expiry()
		if !now.Before(t) {
			delete(m, f)
			continue
		}
		if expiry.IsZero() || t.Before(expiry) {
			first, expiry = f, t
		}
	}
	if len(m) == n {
		delete(m, first)
	}
}
