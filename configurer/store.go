package configurer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// MaxValueBytes bounds one value of the platform's configuration service.
const MaxValueBytes = 1 << 20

// Value is the text that the platform held under a key at a revision; an empty one deletes the key.
type Value struct {
	Key      string
	Revision modeler.Revision
	Text     []byte
}

// Refusal is a value that the content check refused.
type Refusal struct {
	Key      string           `json:"key"`
	Revision modeler.Revision `json:"revision"`
	Reason   string           `json:"reason"`
}

type entry struct {
	accepted Value
	parsed   modeler.Configuration
	refused  Value
	reason   string
	leaving  []modeler.Registration
	deleted  time.Time
}

// Store holds the values in force on one VM.
type Store struct {
	mu      sync.Mutex
	entries map[string]*entry
	head    modeler.Revision
	since   time.Time
	newer   func(offered, held modeler.Revision) bool
	decode  func(key string, text []byte) (modeler.Configuration, error)
	hold    time.Duration
}

// Option changes a Store under construction.
type Option func(*Store)

// WithOrder sets the rule by which an offered revision replaces the held one.
func WithOrder(f func(offered, held modeler.Revision) bool) Option {
	return func(s *Store) { s.newer = f }
}

// WithDecode sets the format of the values.
func WithDecode(f func(key string, text []byte) (modeler.Configuration, error)) Option {
	return func(s *Store) { s.decode = f }
}

// WithHold sets for how long a searcher stays in use after its registration is gone or says that it leaves.
func WithHold(d time.Duration) Option { return func(s *Store) { s.hold = d } }

// NewStore makes an empty store.
func NewStore(options ...Option) *Store {
	s := &Store{
		entries: map[string]*entry{},
		newer:   func(offered, held modeler.Revision) bool { return offered > held },
		decode:  decode,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Offer takes in values that are complete up to the head, and returns the refusals among them and whether anything in force changed.
func (s *Store) Offer(now time.Time, head modeler.Revision, values []Value) (refused []Refusal, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range values {
		r, c := s.offer(now, v)
		changed = changed || c
		if r != nil {
			refused = append(refused, *r)
		}
	}
	if s.newer(head, s.head) {
		s.head = head
	}
	if changed {
		s.since = now
	}
	return refused, changed
}

// Replace takes in all values as of a revision; a key that is missing and was not changed later is deleted.
func (s *Store) Replace(now time.Time, at modeler.Revision, values []Value) (refused []Refusal, changed bool) {
	listed := make(map[string]bool, len(values))
	for _, v := range values {
		listed[v.Key] = true
	}
	s.mu.Lock()
	for k, e := range s.entries {
		if !listed[k] && e.accepted.Revision <= at && (len(e.accepted.Text) > 0 || e.accepted.Revision == 0) {
			values = append(values, Value{Key: k, Revision: max(at, e.accepted.Revision+1)})
		}
	}
	s.mu.Unlock()
	return s.Offer(now, at, values)
}

// Prune forgets the keys that were deleted before the time; peers that ask are sent later changes only.
func (s *Store) Prune(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, e := range s.entries {
		if !e.deleted.IsZero() && e.deleted.Before(before) {
			delete(s.entries, k)
		}
	}
}

func (s *Store) offer(now time.Time, v Value) (*Refusal, bool) {
	e := s.entries[v.Key]
	if e == nil {
		e = &entry{}
		s.entries[v.Key] = e
	}
	if !s.newer(v.Revision, e.accepted.Revision) || v.Revision == e.refused.Revision {
		return nil, false
	}
	parsed, err := s.parse(v)
	if err != nil {
		if v.Revision < e.refused.Revision {
			return nil, false
		}
		e.refused, e.reason = v, err.Error()
		return &Refusal{v.Key, v.Revision, e.reason}, false
	}
	e.leave(now, parsed, s.hold)
	e.accepted, e.parsed = v, parsed
	e.deleted = time.Time{}
	if len(v.Text) == 0 {
		e.deleted = now
	}
	if parsed.Ignored != "" {
		return &Refusal{v.Key, v.Revision, parsed.Ignored}, true
	}
	return nil, true
}

// leave keeps the searcher that a new value no longer registers as ready, until the hold is over.
func (e *entry) leave(now time.Time, next modeler.Configuration, hold time.Duration) {
	if hold == 0 || (len(next.Registrations) > 0 && !next.Registrations[0].Leaving) {
		e.leaving = nil
	} else {
		for _, r := range e.parsed.Registrations {
			if r.Leaving {
				continue
			}
			r.Leaving, r.Until = true, now.Add(hold)
			e.leaving = []modeler.Registration{r}
		}
	}
	for i := range next.Registrations {
		next.Registrations[i].Seen = now
		if next.Registrations[i].Leaving {
			next.Registrations[i].Until = now
		}
	}
}

// inForce returns the value, or the registration that is still held, without what has run out.
func (e *entry) inForce(now time.Time) modeler.Configuration {
	registrations := e.parsed.Registrations
	if len(e.leaving) > 0 {
		registrations = e.leaving
	}
	if len(registrations) == 0 {
		return e.parsed
	}
	if r := registrations[0]; r.Leaving && !now.Before(r.Until) {
		return modeler.Configuration{}
	}
	return modeler.Configuration{Registrations: registrations}
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

// decode reads the tier's own format.
func decode(key string, text []byte) (modeler.Configuration, error) {
	return parser.Decode[modeler.Configuration](key, text)
}

// Head returns the revision up to which the store is complete.
func (s *Store) Head() modeler.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Delta returns the head and all values, accepted and refused, later than the revision.
func (s *Store) Delta(since modeler.Revision) (modeler.Revision, []Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Value
	for _, e := range s.entries {
		for _, v := range []Value{e.accepted, e.refused} {
			if v.Revision > since {
				out = append(out, v)
			}
		}
	}
	slices.SortFunc(out, func(a, b Value) int { return cmp.Compare(a.Revision, b.Revision) })
	return s.head, out
}

// InForce returns the accepted values in the order of their keys.
func (s *Store) InForce() (modeler.Revision, []modeler.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]modeler.Configuration, 0, len(s.entries))
	for _, k := range s.keys() {
		out = append(out, s.entries[k].inForce(time.Now()))
	}
	return s.head, out
}

// State is a readable account of the configuration in force.
type State struct {
	Revision modeler.Revision `json:"revision"`
	Digest   uint64           `json:"digest"`
	Keys     int              `json:"keys"`
	Since    time.Time        `json:"since"`
	Refused  []Refusal        `json:"refused,omitempty"`
}

// State returns the head, a digest of the accepted values and the refusals that stand.
func (s *Store) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Revision: s.head, Keys: len(s.entries), Since: s.since}
	var d xxhash.Digest
	d.Reset()
	for _, k := range s.keys() {
		e := s.entries[k]
		var rev [8]byte
		binary.LittleEndian.PutUint64(rev[:], uint64(e.accepted.Revision))
		_, _ = d.WriteString(k)
		_, _ = d.Write(rev[:])
		_, _ = d.Write(e.accepted.Text)
		if e.refused.Revision > e.accepted.Revision {
			st.Refused = append(st.Refused, Refusal{k, e.refused.Revision, e.reason})
		}
	}
	st.Digest = d.Sum64()
	return st
}

// Lacks returns the keys of a directory whose value the store has to read.
func (s *Store) Lacks(directory map[string]modeler.Revision) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k, r := range directory {
		e := s.entries[k]
		if e == nil || s.newer(r, max(e.accepted.Revision, e.refused.Revision)) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) keys() []string {
	keys := make([]string, 0, len(s.entries))
	for k := range s.entries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
