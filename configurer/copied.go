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

// setLastWord remembers what the accepted registration or its removal says of the searcher. That a new epoch lacks a
// registration says nothing.
func (e *entry) setLastWord(o *offer, v Value, parsed modeler.Configuration) {
	e.copiedUntil = time.Time{}
	if len(parsed.Registrations) > 0 {
		r := parsed.Registrations[0]
		e.lastWord = &lastWord{v.Position.Epoch, r.Searcher.StartedAt, r.Sequence, r.Leaving}
	} else if e.lastWord != nil && !o.newEpoch {
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
	if e.copiedUntil.IsZero() {
		e.copiedUntil = o.now.Add(LapseLimit)
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

// ReleaseCopied puts copied registrations in force that the platform's store still has after LapseLimit: their searchers
// are there.
func (s *Store) ReleaseCopied(now time.Time) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &offer{now: now, changedSince: now, Result: Result{Before: s.head, After: s.head}}
	for _, e := range s.entries {
		if e.copiedUntil.IsZero() || now.Before(e.copiedUntil) {
			continue
		}
		e.copiedUntil, e.heldRegistrations = time.Time{}, nil
		if parsed, err := s.parse(e.acceptedValue); err == nil {
			e.setLastWord(o, e.acceptedValue, parsed)
			s.put(o, e, e.acceptedValue, parsed)
		}
	}
	if o.Changed() {
		s.changedAt = now
	}
	return o.Result
}
