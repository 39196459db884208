package observer

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Fingerprint identifies the content of a request, regardless of its sender.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a search on an index.
func FingerprintOf(index modeler.IndexName, body []byte) Fingerprint {
	d := newDigest(string(index))
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// FingerprintOfMessage returns the fingerprint of a request on a route to an index.
func FingerprintOfMessage(index modeler.IndexName, method, target string, body []byte) Fingerprint {
	d := newDigest(string(index))
	_, _ = d.WriteString(method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// newDigest returns a digest that begins with the index.
func newDigest(index string) *xxhash.Digest {
	d := &xxhash.Digest{}
	d.Reset()
	_, _ = d.WriteString(index)
	_, _ = d.Write([]byte{0})
	return d
}

// At returns the fingerprint of the request on one snapshot, which differs from f.
func (f Fingerprint) At(id modeler.SnapshotID) Fingerprint {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(f))
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	return Fingerprint(xxhash.Sum64(b[:]))
}

// Quarantine records the requests that crash searchers, those suspected of it, and those that were answered
// recently. Each entry expires. RecordGood and KnownGood take the fingerprint of a request on one snapshot
// (Fingerprint.At), all other methods that of the request on any snapshot.
type Quarantine struct {
	mu               sync.Mutex
	quarantinedUntil map[Fingerprint]time.Time
	suspectUntil     map[Fingerprint]time.Time
	goodUntil        map[Fingerprint]time.Time // by the fingerprint on one snapshot
}

// NewQuarantine makes an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		quarantinedUntil: map[Fingerprint]time.Time{},
		suspectUntil:     map[Fingerprint]time.Time{},
		goodUntil:        map[Fingerprint]time.Time{},
	}
}

// Add quarantines a request until the given time and reports whether the request was not quarantined before. It never
// shortens a quarantine. If until is not after now, it changes nothing and returns false. It deletes the entry of
// goodUntil under f only; entries of the request on one snapshot have other fingerprints and stay.
func (q *Quarantine) Add(f Fingerprint, now, until time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !until.After(now) || !until.After(q.quarantinedUntil[f]) {
		return false
	}
	if len(q.quarantinedUntil) >= MaxQuarantined {
		evict(q.quarantinedUntil, now)
	}
	isNew := !now.Before(q.quarantinedUntil[f])
	q.quarantinedUntil[f] = until
	delete(q.goodUntil, f)
	return isNew
}

// Contains reports whether a request is quarantined.
func (q *Quarantine) Contains(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.quarantinedUntil[f])
}

// RecordLoss makes a request suspect for QuarantinePeriod, and reports whether the request already was suspect. A
// search becomes suspect if it got no answer and lost a single connection, a request on a route if it got no answer
// and crashed a searcher. News from another VM that a request is suspect is recorded here too.
func (q *Quarantine) RecordLoss(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	repeated := now.Before(q.suspectUntil[f])
	if len(q.suspectUntil) >= MaxQuarantined {
		evict(q.suspectUntil, now)
	}
	q.suspectUntil[f] = now.Add(QuarantinePeriod)
	return repeated
}

// RecordGood records that a searcher answered the request on one snapshot. It deletes the entry of suspectUntil
// under f only; that of the request on any snapshot has another fingerprint and stays.
func (q *Quarantine) RecordGood(f Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.goodUntil) >= MaxKnownGood {
		evict(q.goodUntil, now)
	}
	q.goodUntil[f] = now.Add(KnownGoodPeriod)
	delete(q.suspectUntil, f)
}

// KnownGood reports whether a searcher answered the same request on the same snapshot within KnownGoodPeriod.
func (q *Quarantine) KnownGood(f Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.goodUntil[f])
}

// List returns the quarantined requests and the time until which each is quarantined.
func (q *Quarantine) List(now time.Time) map[Fingerprint]time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := map[Fingerprint]time.Time{}
	for f, t := range q.quarantinedUntil {
		if now.Before(t) {
			m[f] = t
		}
	}
	return m
}

// evict deletes all expired entries or, if there are none, the one that expires first.
func evict(m map[Fingerprint]time.Time, now time.Time) {
	var first Fingerprint
	var expiry time.Time
	n := len(m)
	for f, t := range m {
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
