package configurer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// LapseLimit is the time within which the platform's store, once it has come back from an older copy, has removed the
// registrations of searchers that are no longer there.
const LapseLimit = 5 * time.Second

// departure is the last registration of a searcher that has left, or says that it leaves.
type departure struct {
	epoch     modeler.Epoch
	startedAt time.Time
	sequence  uint64
}

// recordDeparture remembers that the accepted value is replaced by one that says that the searcher leaves or has left. A
// registration that a new epoch lacks says neither.
func (e *entry) recordDeparture(o *offer, next Value, parsed modeler.Configuration) {
	e.copiedUntil = time.Time{}
	registrations := parsed.Registrations
	if len(registrations) == 0 && !o.newEpoch {
		registrations = e.configuration.Registrations
	}
	if len(registrations) == 0 {
		return
	}
	r := registrations[0]
	if len(parsed.Registrations) > 0 && !r.Leaving {
		e.departed = nil
		return
	}
	e.departed = &departure{next.Position.Epoch, r.Searcher.StartedAt, r.Sequence}
}

// isCopied reports whether a later epoch has a registration that is older than the departure of its searcher: the searcher
// wrote it before.
func (e *entry) isCopied(v Value, r modeler.Registration) bool {
	d := e.departed
	return d != nil && !r.Leaving && v.Position.Epoch > d.epoch && r.Searcher.StartedAt.Equal(d.startedAt) && r.Sequence <= d.sequence
}

// holdBackCopied marks the registration as leaving if it is older than the departure of its searcher. ReleaseCopied puts
// it in use if it is still there after LapseLimit.
func (e *entry) holdBackCopied(now time.Time, v Value, parsed modeler.Configuration) bool {
	if len(parsed.Registrations) == 0 || !e.isCopied(v, parsed.Registrations[0]) {
		return false
	}
	parsed.Registrations[0].Leaving = true
	if e.copiedUntil.IsZero() {
		e.copiedUntil = now.Add(LapseLimit)
	}
	return true
}

// ReleaseCopied puts searchers in use that were held back because a later epoch has their registrations from before they
// left: a registration that the platform's store still has after LapseLimit is that of a searcher that is there.
func (s *Store) ReleaseCopied(now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := Result{Before: s.head, After: s.head}
	for _, e := range s.entries {
		if e.copiedUntil.IsZero() || now.Before(e.copiedUntil) {
			continue
		}
		e.copiedUntil, e.departed, e.heldRegistrations = time.Time{}, nil, nil
		for i := range e.configuration.Registrations {
			r := &e.configuration.Registrations[i]
			r.Leaving, r.UsableUntil, r.ReceivedAt = false, time.Time{}, now
			res.Replaced++
		}
	}
	return res
}
