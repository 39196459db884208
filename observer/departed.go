package observer

import (
	"maps"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// DepartedMemory is how long the state of a searcher whose entry is missing, or names another incarnation, is kept.
const DepartedMemory = DefaultMaxBackoff

// OlderEntryPeriod is how long an entry of an earlier start than that known counts as one of the same searcher. The store
// has such an entry after it came back from an older copy, until the searcher writes again.
const OlderEntryPeriod = 10 * time.Second

// incarnation names one run of a searcher.
type incarnation struct {
	address   netip.AddrPort
	name      modeler.SearcherName
	service   modeler.ServiceName
	startedAt int64 // in Unix microseconds
}

// departed is the state of a searcher whose entry was dropped at a time.
type departed struct {
	searcher *Searcher
	at       time.Time
}

// remember keeps a state that is discarded, if the start of its searcher is known and the searcher has said in its answers
// what requests it takes: its entry may come back. The caller holds the lock.
func (o *Observer) remember(a netip.AddrPort, s *Searcher) {
	if s.joined != "" && !s.startedAt.IsZero() && s.hasWord() {
		o.departed[incarnation{a, s.name, s.joined, s.startedAt.UnixMicro()}] = departed{s, time.Now()}
	}
}

// recall returns the kept state of an incarnation, or nil. The caller holds the lock.
func (o *Observer) recall(i incarnation) *Searcher {
	d, ok := o.departed[i]
	if !ok {
		return nil
	}
	delete(o.departed, i)
	d.searcher.mu.Lock()
	defer d.searcher.mu.Unlock()
	d.searcher.gone = false
	return d.searcher
}

// forget drops the states that were kept for DepartedMemory. The caller holds the lock.
func (o *Observer) forget(now time.Time) {
	maps.DeleteFunc(o.departed, func(_ incarnation, d departed) bool { return now.Sub(d.at) > DepartedMemory })
}

// hasWord reports whether the searcher, or another VM about it, has said that it leaves, wants no requests, or takes few.
func (s *Searcher) hasWord() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || !s.drainingUntil.IsZero() || !s.backoffUntil.IsZero() || s.limit.quota.Limited()
}

// isAfter reports whether the state is that of a later start of the named searcher of the service.
func (s *Searcher) isAfter(i incarnation) bool {
	return s.name == i.name && s.joined == i.service && s.startedAt.UnixMicro() > i.startedAt
}

// takeWord takes over what another state of the searcher says of the requests that it takes, for OlderEntryPeriod at most.
// No one else may have the state s yet.
func (s *Searcher) takeWord(now time.Time, from *Searcher) {
	from.mu.Lock()
	defer from.mu.Unlock()
	until := now.Add(OlderEntryPeriod)
	s.drainingUntil = earliest(from.drainingUntil, until)
	if from.leaving {
		s.drainingUntil = until
	}
	s.backoffUntil = earliest(from.backoffUntil, until)
	s.limit = from.limit
}
