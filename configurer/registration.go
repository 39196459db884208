package configurer

import (
	"bytes"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// entry is the state of one key.
type entry struct {
	acceptedValue Value
	configuration modeler.Configuration
	refusedValue  Value
	refusalReason string
	// heldRegistrations has at most one element: the registration of a searcher that stays in use although acceptedValue
	// does not register it as ready.
	heldRegistrations []modeler.Registration
	deletedAt         time.Time // zero unless acceptedValue deleted the key
	lastWord          *lastWord // nil if no registration was accepted
	missingSince      time.Time // when a new epoch lacked the registration that is held, or zero; see HoldMissing
	copiedAt          time.Time // when a copied registration came that is not in force, or zero; see takeCopied
}

// latest returns the position of the last value that was accepted or refused.
func (e *entry) latest() modeler.Position {
	if e.refusedValue.Position.After(e.acceptedValue.Position) {
		return e.refusedValue.Position
	}
	return e.acceptedValue.Position
}

// isRenewed reports whether a later value is what is held: the key was deleted before, or a later epoch has the same text.
func (e *entry) isRenewed(v Value) bool {
	held := e.acceptedValue
	if len(v.Text) == 0 {
		return len(held.Text) == 0 && !held.Position.IsZero()
	}
	return v.Position.Epoch > held.Position.Epoch && bytes.Equal(v.Text, held.Text)
}

// renew takes the later position of the value that is held. A copied registration waits for LapseLimit from the last return.
func (e *entry) renew(now time.Time, at modeler.Position) {
	if !e.copiedAt.IsZero() && at.Epoch > e.acceptedValue.Position.Epoch {
		e.copiedAt = now
	}
	e.acceptedValue.Position = at
}

// usableUntil returns until when a searcher that the next value no longer registers as ready may be sent requests. A
// registration that a new epoch lacks counts as lapsed: its searcher may write it again.
func (s *Store) usableUntil(o *offer, next modeler.Configuration) time.Time {
	deleted := len(next.Registrations) == 0
	if deleted && (o.inferred || o.now.Sub(o.changedSince) >= s.lapsePeriod) {
		return o.now.Add(s.holdPeriod)
	}
	return o.changedSince.Add(s.holdPeriod)
}

// holdRegistration keeps a searcher in use until the given time when the next value no longer registers it as ready.
// A key registers at most one searcher. It also sets ReceivedAt of the next value's registration, and, if that is
// leaving, UsableUntil.
func (e *entry) holdRegistration(now time.Time, next modeler.Configuration, until time.Time) {
	if len(next.Registrations) > 0 && !next.Registrations[0].Leaving {
		e.heldRegistrations = nil
	} else {
		e.holdIfReady(now, until)
	}
	for i := range next.Registrations {
		next.Registrations[i].ReceivedAt = now
		if next.Registrations[i].Leaving {
			next.Registrations[i].UsableUntil = now
		}
	}
}

// holdIfReady keeps the searcher that the accepted value registers as ready in use until the given time.
func (e *entry) holdIfReady(now, until time.Time) {
	for _, r := range e.configuration.Registrations {
		if r.Leaving {
			continue
		}
		e.heldRegistrations = nil
		if until.After(now) {
			r.Leaving, r.UsableUntil = true, until
			e.heldRegistrations = []modeler.Registration{r}
		}
	}
}

// activeAt returns the configuration of the key in force at the time. A held registration takes precedence over
// the accepted value; a leaving registration is left out from its UsableUntil on, which for a held one is the end of the
// hold period.
func (e *entry) activeAt(now time.Time) modeler.Configuration {
	registrations := e.configuration.Registrations
	if len(e.heldRegistrations) > 0 {
		registrations = e.heldRegistrations
	}
	if len(registrations) == 0 {
		return e.configuration
	}
	if r := registrations[0]; r.Leaving && !now.Before(r.UsableUntil) {
		return modeler.Configuration{}
	}
	return modeler.Configuration{Registrations: registrations}
}
