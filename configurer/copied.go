package configurer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// LapseLimit is the time within which the platform's store, once it has come back from an older copy, has removed the
// registrations of searchers that are no longer there.
const LapseLimit = 5 * time.Second

// lastWord is the place of the last registration that a VM knows in its searcher's own order: by start, then by sequence.
type lastWord struct {
	epoch     modeler.Epoch // in which this VM received the registration or its removal
	startedAt time.Time
	sequence  uint64
	left      bool // the searcher leaves, or its registration was removed
}

// isLaterThan reports whether the searcher wrote r before the last word.
func (w *lastWord) isLaterThan(r *modeler.Registration) bool {
	if c := r.Searcher.StartedAt.Compare(w.startedAt); c != 0 {
		return c < 0
	}
	if r.Sequence != w.sequence {
		return r.Sequence < w.sequence
	}
	return w.left && !r.Leaving
}

// setLastWord remembers what the accepted registration or its removal says of the searcher. A removal that was inferred from
// what a new epoch lacks says nothing.
func (e *entry) setLastWord(o *offer, v Value, parsed modeler.Configuration) {
	e.copiedAt, e.missingSince = time.Time{}, time.Time{}
	if len(parsed.Registrations) > 0 {
		r := parsed.Registrations[0]
		e.lastWord = &lastWord{v.Position.Epoch, r.Searcher.StartedAt, r.Sequence, r.Leaving}
	} else if e.lastWord != nil && !o.inferred {
		e.lastWord.epoch, e.lastWord.left = v.Position.Epoch, true
	}
}

// isCopied reports whether a later epoch has a registration from before the searcher's last word: the store has it from the
// copy, until the searcher writes again.
func (e *entry) isCopied(v Value, parsed modeler.Configuration) bool {
	w := e.lastWord
	return w != nil && len(parsed.Registrations) > 0 && v.Position.Epoch > w.epoch && w.isLaterThan(&parsed.Registrations[0])
}

// isReady reports whether the accepted value registers a searcher as ready.
func (e *entry) isReady() bool {
	r := e.configuration.Registrations
	return len(r) > 0 && !r[0].Leaving
}

// takeCopied accepts a copied registration as the store's, but keeps in force what the searcher said last: that it is ready
// as registered then, or that it has left. See ReleaseCopied.
func (s *Store) takeCopied(o *offer, e *entry, v Value, parsed modeler.Configuration) {
	if e.copiedAt.IsZero() || v.Position.Epoch > e.acceptedValue.Position.Epoch {
		e.copiedAt = o.now
	}
	if e.isReady() && !e.lastWord.left {
		e.acceptedValue = v
		return
	}
	if e.lastWord.left {
		parsed.Registrations[0].Leaving = true
	}
	s.put(o, e, v, parsed)
}

// ReleaseCopied puts copied registrations in force that the platform's store was known to have LapseLimit after its return:
// their searchers are there.
func (s *Store) ReleaseCopied(now time.Time) Result {
	known := s.confirmedAt()
	if known.IsZero() {
		known = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &offer{now: now, changedSince: now, Result: Result{Before: s.head, After: s.head}}
	for _, e := range s.entries {
		if !e.copiedAt.IsZero() && !known.Before(e.copiedAt.Add(LapseLimit)) {
			s.release(o, e)
		}
	}
	if o.Changed() {
		s.changedAt = now
	}
	return o.Result
}

// release puts the copied registration of an entry in force, as received when the copy came.
func (s *Store) release(o *offer, e *entry) {
	receivedAt := e.copiedAt
	e.copiedAt, e.heldRegistrations = time.Time{}, nil
	parsed, err := s.parse(e.acceptedValue)
	if err != nil {
		return
	}
	e.setLastWord(o, e.acceptedValue, parsed)
	s.put(o, e, e.acceptedValue, parsed)
	for i := range parsed.Registrations {
		parsed.Registrations[i].ReceivedAt = receivedAt
	}
}
