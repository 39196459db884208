package configurer

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// MaxValueBytes is the largest accepted size of one value.
const MaxValueBytes = 1 << 20

// maxReasonBytes bounds the reason of a refusal, which is logged and shown to operators.
const maxReasonBytes = 300

// Value is the text that the platform's configuration service, or the platform's store, has under a key at a position.
// An empty text deletes the key.
type Value struct {
	Key      string
	Position modeler.Position
	Text     []byte
}

// Store is one VM's own copy of the platform's values. It holds the values in force on that VM.
type Store struct {
	mu      sync.Mutex
	entries map[string]*entry
	head    modeler.Position
	// completeFrom is the position from which on the store has every deletion. A list has none of those before it.
	completeFrom modeler.Position
	changedAt    time.Time
	supersedes   func(offered, held modeler.Position) bool
	decode       func(key string, text []byte) (modeler.Configuration, error)
	holdPeriod   time.Duration
	// lapsePeriod is how long the store must have been out of reach for a missing registration to count as lapsed.
	lapsePeriod time.Duration
	confirmedAt func() time.Time
}

// Option changes a Store under construction.
type Option func(*Store)

// WithOrder sets the rule that decides whether an offered position replaces the held one. Tests use it to switch off the
// protection against older values.
func WithOrder(f func(offered, held modeler.Position) bool) Option {
	return func(s *Store) { s.supersedes = f }
}

// WithDecode sets the decoder of the values.
func WithDecode(f func(key string, text []byte) (modeler.Configuration, error)) Option {
	return func(s *Store) { s.decode = f }
}

// WithHold sets how long a searcher stays in use after its registration was deleted or marked as leaving, at the longest.
// A change that this VM learns of late may be as old as the configuration is unconfirmed; see WithConfirmedAt. If that is
// lapse or longer, a deleted registration may have lapsed because searchers could not reach the store, and its searcher
// stays in use for the whole time.
func WithHold(d, lapse time.Duration) Option {
	return func(s *Store) { s.holdPeriod, s.lapsePeriod = d, lapse }
}

// WithConfirmedAt sets the function that returns when the values were last known to be complete; zero if that is unknown.
func WithConfirmedAt(f func() time.Time) Option { return func(s *Store) { s.confirmedAt = f } }

// NewStore returns an empty store.
func NewStore(options ...Option) *Store {
	s := &Store{
		entries:    map[string]*entry{},
		supersedes: modeler.Position.After,
		decode:     decodeNative,

		confirmedAt: func() time.Time { return time.Time{} },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

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
	o := &offer{now: now, changedSince: s.confirmedAt()}
	if o.changedSince.IsZero() || o.changedSince.After(now) {
		o.changedSince = now
	}
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

func (s *Store) raiseCompleteFrom(at modeler.Position) {
	if at.After(s.completeFrom) {
		s.completeFrom = at
	}
}

// Prune removes the keys that were deleted before the given time.
// Peers that pull from this VM from before these deletions receive all values.
func (s *Store) Prune(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if e.deletedAt.IsZero() || !e.deletedAt.Before(before) {
			continue
		}
		delete(s.entries, k)
		s.raiseCompleteFrom(e.acceptedValue.Position)
	}
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
	e := s.entries[v.Key]
	if e == nil {
		e = &entry{}
		s.entries[v.Key] = e
	}
	held := e.acceptedValue.Position
	later := s.supersedes(v.Position, held)
	if v.Position == e.refusedValue.Position || (!later && v.Position.Epoch == held.Epoch) {
		o.countUnused(v, held)
		return
	}
	if later && e.isRenewed(v) {
		e.renew(o.now, v.Position)
		return
	}
	parsed, err := s.parse(v)
	if err != nil {
		s.refuse(o, e, v, err)
		return
	}
	lost := v.Position.Epoch < s.head.Epoch // only a version that the head's epoch lacks is still in force
	if (!later || lost) && parsed.Version <= e.configuration.Version {
		o.countUnused(v, held)
		return
	}
	if v.Position.Epoch > held.Epoch && parsed.Version < e.configuration.Version {
		s.refuse(o, e, v, errors.Errorf("version %d is lower than %d, which an earlier epoch had", parsed.Version, e.configuration.Version))
		return
	}
	if e.isCopied(v, parsed) {
		s.takeCopied(o, e, v, parsed)
		return
	}
	e.setLastWord(o, v, parsed)
	s.put(o, e, v, parsed)
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

// Head returns the position up to which the store has every change.
func (s *Store) Head() modeler.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Delta is what a Store has after a position.
type Delta struct {
	Head   modeler.Position
	Values []Value
	Whole  bool // whether Values are all that the Store has
}

// Delta returns the head and all values, accepted and refused, of a later position than since, and those in force that the
// head's epoch lacks. If the store may lack a deletion after since, these are all values; of the deletions it returns those
// that the receiver can't infer.
func (s *Store) Delta(since modeler.Position) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Delta{Head: s.head, Whole: s.completeFrom.After(since)}
	for _, e := range s.entries {
		v := e.acceptedValue
		inForce := len(v.Text) > 0
		isNews := v.Position.After(since) && (inForce || v.Position.After(s.completeFrom))
		if isNews || (inForce && (out.Whole || v.Position.Epoch < s.head.Epoch)) {
			out.Values = append(out.Values, v)
		}
		if v := e.refusedValue; v.Position.After(since) {
			out.Values = append(out.Values, v)
		}
	}
	slices.SortFunc(out.Values, func(a, b Value) int { return a.Position.Compare(b.Position) })
	return out
}

// Apply accepts or refuses the values that another Store has after the head of this one; see Offer and Replace.
func (s *Store) Apply(now time.Time, d Delta) Result {
	return s.accept(now, d.Head, d.Values, d.Whole)
}

// InForce returns the head and the configurations in force, sorted by key.
func (s *Store) InForce() (modeler.Position, []modeler.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]modeler.Configuration, 0, len(s.entries))
	for _, k := range s.sortedKeys() {
		out = append(out, s.entries[k].activeAt(time.Now()))
	}
	return s.head, out
}

// State summarizes the configuration in force for operators.
type State struct {
	Epoch    modeler.Epoch    `json:"epoch"`
	Revision modeler.Revision `json:"revision"`
	Digest   uint64           `json:"digest"`
	Keys     int              `json:"keys"`
	Since    time.Time        `json:"since"`
	Refused  []Refusal        `json:"refused,omitempty"`
}

// State returns the head, a digest of the accepted values, and the refused values that are newer than the accepted
// value of their key.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Epoch: s.head.Epoch, Revision: s.head.Revision, Keys: len(s.entries), Since: s.changedAt}
	var d xxhash.Digest
	d.Reset()
	for _, k := range s.sortedKeys() {
		e := s.entries[k]
		var position [16]byte
		binary.LittleEndian.PutUint64(position[:], uint64(e.acceptedValue.Position.Revision))
		binary.LittleEndian.PutUint64(position[8:], uint64(e.acceptedValue.Position.Epoch))
		_, _ = d.WriteString(k)
		_, _ = d.Write(position[:])
		_, _ = d.Write(e.acceptedValue.Text)
		if e.refusedValue.Position.After(e.acceptedValue.Position) {
			st.Refused = append(st.Refused, newRefusal(e.refusedValue, e.refusalReason))
		}
	}
	st.Digest = d.Sum64()
	return st
}

// OutdatedKeys returns the sorted keys for which the store has neither accepted nor refused a revision as new as the one
// in the directory, the platform's list of keys with their revisions.
func (s *Store) OutdatedKeys(directory map[string]modeler.Revision) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k, r := range directory {
		e := s.entries[k]
		if e == nil || s.supersedes(modeler.Position{Revision: r}, e.latest()) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) sortedKeys() []string {
	keys := make([]string, 0, len(s.entries))
	for k := range s.entries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
