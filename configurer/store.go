package configurer

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
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

// Head returns the position up to which the store has every change.
func (s *Store) Head() modeler.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
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
