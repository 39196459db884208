package configurer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// MaxValueBytes is the largest accepted size of one value.
const MaxValueBytes = 1 << 20

// maxReasonBytes bounds the reason of a refusal, which is logged and shown to operators.
const maxReasonBytes = 300

// Value is the text that the platform's configuration service, or the platform's store, has under a key at a revision.
// An empty text deletes the key.
type Value struct {
	Key      string
	Revision modeler.Revision
	Text     []byte
}

// Store is one VM's own copy of the platform's values. It holds the values in force on that VM.
type Store struct {
	mu         sync.Mutex
	entries    map[string]*entry
	head       modeler.Revision
	changedAt  time.Time
	supersedes func(offered, held modeler.Revision) bool
	decode     func(key string, text []byte) (modeler.Configuration, error)
	holdPeriod time.Duration
	// lapsePeriod is how long the store must have been out of reach for a missing registration to count as lapsed.
	lapsePeriod time.Duration
	confirmedAt func() time.Time
}

// Option changes a Store under construction.
type Option func(*Store)

// WithRevisionOrder sets the rule that decides whether an offered revision replaces the held revision. Tests use it to
// switch off the protection against older revisions.
func WithRevisionOrder(f func(offered, held modeler.Revision) bool) Option {
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
		supersedes: func(offered, held modeler.Revision) bool { return offered > held },
		decode:     decodeNative,

		confirmedAt: func() time.Time { return time.Time{} },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Offer accepts or refuses values. Together with the values already in the store they must cover every change up to the
// head revision.
func (s *Store) Offer(now time.Time, head modeler.Revision, values []Value) Result {
	var out Result
	changedSince := s.confirmedAt()
	if changedSince.IsZero() || changedSince.After(now) {
		changedSince = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range values {
		s.offer(now, changedSince, v, &out)
	}
	if s.supersedes(head, s.head) {
		s.head = head
	}
	if out.Changed() {
		s.changedAt = now
	}
	return out
}

// Replace offers all values that the platform had at a revision. It deletes each key that is not among them, unless the
// key was changed after that revision.
func (s *Store) Replace(now time.Time, revision modeler.Revision, values []Value) Result {
	listed := make(map[string]bool, len(values))
	for _, v := range values {
		listed[v.Key] = true
	}
	s.mu.Lock()
	for k, e := range s.entries {
		// An entry whose accepted revision is 0 has only had a refused value; the key is deleted as well.
		if !listed[k] && e.acceptedValue.Revision <= revision && (len(e.acceptedValue.Text) > 0 || e.acceptedValue.Revision == 0) {
			values = append(values, Value{Key: k, Revision: max(revision, e.acceptedValue.Revision+1)})
		}
	}
	s.mu.Unlock()
	return s.Offer(now, revision, values)
}

// Prune removes the keys that were deleted before the given time.
// Peers that pull from this VM no longer receive these deletions.
func (s *Store) Prune(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if !e.deletedAt.IsZero() && e.deletedAt.Before(before) {
			delete(s.entries, k)
		}
	}
}

// offer accepts or refuses one value, and counts it in out. The caller holds the lock.
func (s *Store) offer(now, changedSince time.Time, v Value, out *Result) {
	e := s.entries[v.Key]
	if e == nil {
		e = &entry{}
		s.entries[v.Key] = e
	}
	if !s.supersedes(v.Revision, e.acceptedValue.Revision) || v.Revision == e.refusedValue.Revision {
		out.countUnused(v, e.acceptedValue.Revision)
		return
	}
	parsed, err := s.parse(v)
	if err != nil {
		if v.Revision < e.refusedValue.Revision {
			return
		}
		e.refusedValue, e.refusalReason = v, shorten(err.Error())
		out.Refused = append(out.Refused, Refusal{v.Key, v.Revision, e.refusalReason})
		return
	}
	out.countAccepted(len(e.acceptedValue.Text) > 0, len(v.Text) > 0)
	e.holdRegistration(now, parsed, s.usableUntil(now, changedSince, parsed))
	e.acceptedValue, e.configuration = v, parsed
	e.deletedAt = time.Time{}
	if len(v.Text) == 0 {
		e.deletedAt = now
	}
	if parsed.Ignored != "" {
		out.Refused = append(out.Refused, Refusal{v.Key, v.Revision, shorten(parsed.Ignored)})
	}
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

// Head returns the revision up to which the store has every change.
func (s *Store) Head() modeler.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Delta returns the head and all values, accepted and refused, of a later revision than since.
func (s *Store) Delta(since modeler.Revision) (modeler.Revision, []Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Value
	for _, e := range s.entries {
		for _, v := range []Value{e.acceptedValue, e.refusedValue} {
			if v.Revision > since {
				out = append(out, v)
			}
		}
	}
	slices.SortFunc(out, func(a, b Value) int { return cmp.Compare(a.Revision, b.Revision) })
	return s.head, out
}

// InForce returns the head and the configurations in force, sorted by key.
func (s *Store) InForce() (modeler.Revision, []modeler.Configuration) {
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
	st := State{Revision: s.head, Keys: len(s.entries), Since: s.changedAt}
	var d xxhash.Digest
	d.Reset()
	for _, k := range s.sortedKeys() {
		e := s.entries[k]
		var rev [8]byte
		binary.LittleEndian.PutUint64(rev[:], uint64(e.acceptedValue.Revision))
		_, _ = d.WriteString(k)
		_, _ = d.Write(rev[:])
		_, _ = d.Write(e.acceptedValue.Text)
		if e.refusedValue.Revision > e.acceptedValue.Revision {
			st.Refused = append(st.Refused, Refusal{k, e.refusedValue.Revision, e.refusalReason})
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
		if e == nil || s.supersedes(r, max(e.acceptedValue.Revision, e.refusedValue.Revision)) {
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
