package configurer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// missing returns the deletions of the keys that the store holds and that are not among all values at the position.
func (s *Store) missing(at modeler.Position, values []Value) []Value {
	listed := make(map[string]bool, len(values))
	for _, v := range values {
		listed[v.Key] = true
	}
	var out []Value
	for k, e := range s.entries {
		held := e.acceptedValue.Position
		// An entry without an accepted position has only had a refused value; the key is deleted as well.
		if listed[k] || held.After(at) || (len(e.acceptedValue.Text) == 0 && !held.IsZero()) {
			continue
		}
		if held.Epoch < at.Epoch && e.configuration.Version > 0 {
			continue // the platform has lost it, and its operator writes it again
		}
		deleted := at
		if deleted == held {
			deleted.Revision++ // the platform deleted the key after the first page of its list
		}
		out = append(out, Value{Key: k, Position: deleted})
	}
	return out
}

// setMissing records since when an entry is held because a new epoch lacks its registration: from the last return on.
func (s *Store) setMissing(o *offer) {
	for _, e := range s.entries {
		held := len(e.heldRegistrations) > 0 && len(e.acceptedValue.Text) == 0
		if !held || e.lastWord == nil || e.lastWord.left {
			continue
		}
		if e.missingSince.IsZero() || o.now.Before(e.heldRegistrations[0].UsableUntil) {
			e.missingSince = o.now
			e.holdUntil(o, o.now.Add(s.holdPeriod))
		}
	}
}

// holdUntil holds the registration that is held already for longer, if the given time is later.
func (e *entry) holdUntil(o *offer, until time.Time) {
	if !until.After(e.heldRegistrations[0].UsableUntil) {
		return
	}
	e.heldRegistrations = slices.Clone(e.heldRegistrations) // readers may have the slice before
	e.heldRegistrations[0].UsableUntil = until
	o.Replaced++
}

// HoldMissing holds the searchers whose registrations a new epoch lacks until the platform's store is known to have lacked
// them for the hold period, since they can't write again while it is away; but for LapseLimit at most. The next call comes
// within the period.
func (s *Store) HoldMissing(now time.Time, period time.Duration) Result {
	known := s.confirmedAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &offer{now: now, Result: Result{Before: s.head, After: s.head}}
	for _, e := range s.entries {
		isOver := known.IsZero() || !known.Before(e.missingSince.Add(s.holdPeriod))
		if e.missingSince.IsZero() || len(e.heldRegistrations) == 0 || isOver {
			continue
		}
		until := now.Add(2 * period)
		if limit := e.missingSince.Add(LapseLimit); until.After(limit) {
			until = limit
		}
		if e.heldRegistrations[0].UsableUntil.Before(now.Add(period)) {
			e.holdUntil(o, until)
		}
	}
	if o.Changed() {
		s.changedAt = now
	}
	return o.Result
}
