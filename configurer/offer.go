package configurer

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// Offer accepts or refuses values. Together with the values already in the store they must cover every change up to the
// head. If the head is of a later epoch than the store's, they must be all values of that epoch, and replace those held as
// Replace does. Between epochs, a value that has a version is replaced by none of a lower version.
func (s *Store) Offer(now time.Time, head modeler.Position, values []Value) Result {
	return s.accept(now, head, values, false)
}

// Replace offers all values that the platform had at a position. It deletes each key that is not among them, unless the
// key was changed after that position. It does nothing if the store holds values of a later epoch.
func (s *Store) Replace(now time.Time, at modeler.Position, values []Value) Result {
	return s.accept(now, at, values, true)
}

// accept offers values; whole says that they are all values at the head.
func (s *Store) accept(now time.Time, head modeler.Position, values []Value, whole bool) Result {
	o := &offer{now: now, changedSince: s.changedSince(now)}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Before, o.After = s.head, s.head
	if whole && head.Epoch < s.head.Epoch {
		return o.Result
	}
	newEpoch := !s.head.IsZero() && head.Epoch > s.head.Epoch
	var missing []Value
	if whole || newEpoch {
		missing = s.missing(head, values)
	}
	if whole || newEpoch || s.head.IsZero() {
		s.raiseCompleteFrom(head)
	}
	for _, v := range values {
		s.acceptOne(o, v)
	}
	o.inferred = newEpoch
	for _, v := range missing {
		s.acceptOne(o, v)
	}
	if newEpoch {
		s.setMissing(o)
	}
	if s.supersedes(head, s.head) {
		s.head, o.After = head, head
	}
	if o.Changed() {
		s.changedAt = now
	}
	return o.Result
}

// changedSince returns since when values that are offered now may have changed.
func (s *Store) changedSince(now time.Time) time.Time {
	if at := s.confirmedAt(); !at.IsZero() && at.Before(now) {
		return at
	}
	return now
}

// offer is a set of values on their way into the store.
type offer struct {
	now          time.Time
	changedSince time.Time // since when the values may have changed
	inferred     bool      // whether the values are deletions of what a new epoch lacks, which may only be lost
	Result
}

// acceptOne accepts or refuses one value, and counts it in o. The caller holds the lock.
func (s *Store) acceptOne(o *offer, v Value) {
	e := s.entryOf(v.Key)
	held := e.acceptedValue.Position
	later := s.supersedes(v.Position, held)
	switch {
	case v.Position == e.refusedValue.Position, !later && v.Position.Epoch == held.Epoch:
		o.countUnused(v, held)
		return
	case later && e.isRenewed(v):
		e.renew(o.now, v.Position)
		return
	}
	parsed, err := s.parse(v)
	if err != nil {
		s.refuse(o, e, v, err)
		return
	}
	isOver := !later || v.Position.Epoch < s.head.Epoch
	switch {
	case isOver && parsed.Version <= e.configuration.Version:
		o.countUnused(v, held)
	case v.Position.Epoch > held.Epoch && parsed.Version < e.configuration.Version:
		s.refuse(o, e, v, errors.Errorf("version %d is lower than %d, which an earlier epoch had", parsed.Version, e.configuration.Version))
	case e.isCopied(v, parsed):
		s.takeCopied(o, e, v, parsed)
	default:
		e.setLastWord(o, v, parsed)
		s.put(o, e, v, parsed)
	}
}

// entryOf returns the entry of the key, and creates it if needed.
func (s *Store) entryOf(key string) *entry {
	e := s.entries[key]
	if e == nil {
		e = &entry{}
		s.entries[key] = e
	}
	return e
}

// put replaces the accepted value. The caller holds the lock.
func (s *Store) put(o *offer, e *entry, v Value, parsed modeler.Configuration) {
	o.countAccepted(len(e.acceptedValue.Text) > 0, len(v.Text) > 0)
	e.holdRegistration(o.now, parsed, s.usableUntil(o, parsed))
	e.acceptedValue, e.configuration = v, parsed
	e.deletedAt = time.Time{}
	if len(v.Text) == 0 {
		e.deletedAt = o.now
	}
	if parsed.Ignored != "" {
		o.addRefusal(v, shorten(parsed.Ignored))
	}
}

// refuse records that a value failed the check, unless a later one did.
func (s *Store) refuse(o *offer, e *entry, v Value, err error) {
	if e.refusedValue.Position.After(v.Position) {
		return
	}
	e.refusedValue, e.refusalReason = v, shorten(err.Error())
	o.addRefusal(v, e.refusalReason)
}

// shorten returns the reason of a refusal without what exceeds maxReasonBytes: it may quote a long value.
func shorten(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
}

func (s *Store) parse(v Value) (modeler.Configuration, error) {
	if len(v.Text) == 0 {
		return modeler.Configuration{}, nil
	}
	if len(v.Text) > MaxValueBytes {
		return modeler.Configuration{}, parser.Faults{{File: v.Key, Line: 1, Column: 1, Reason: "is larger than a megabyte"}}
	}
	return s.decode(v.Key, v.Text)
}

// decodeNative decodes the tier's own format.
func decodeNative(key string, text []byte) (modeler.Configuration, error) {
	return parser.Decode[modeler.Configuration](key, text)
}
