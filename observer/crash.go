package observer

import (
	"net/netip"
	"slices"
	"time"
)

// Crash is the loss of a searcher that was running a request. The searcher crashed at some moment after AliveAt, until At.
type Crash struct {
	Searcher netip.AddrPort
	AliveAt  time.Time // when the searcher was last known to be alive
	At       time.Time // when the connection was lost
}

// ToldCrash returns a crash that another VM saw. The VMs' times of day may differ, and the other VM doesn't say when the
// searcher was last known to be alive.
func ToldCrash(searcher netip.AddrPort, at time.Time) Crash {
	return Crash{searcher, at.Add(-ToldCrashSpan), at}
}

// crashMoments returns the first crash of each moment, of the least number of moments at which searchers must have crashed
// to explain all crashes. However many equal requests one failure of several searchers ends, it is one moment. Searchers
// that fail together may do so within the span.
func crashMoments(crashes []Crash, span time.Duration) []Crash {
	byEnd := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	var moments []Crash
	for _, c := range byEnd {
		n := len(moments)
		if n == 0 || earliest(c.AliveAt, c.At.Add(-span)).After(moments[n-1].At) {
			moments = append(moments, c)
		}
	}
	return moments
}

// suspicion is what counts against a request.
type suspicion struct {
	moments   []Crash                      // the first crash of each moment; see crashMoments
	searchers map[netip.AddrPort]time.Time // that crashed while they ran the request, and when last
}

// add adds a crash.
func (s *suspicion) add(c Crash) {
	s.moments = crashMoments(append(s.moments, c), 0)
	if len(s.moments) > MaxCrashMoments {
		s.moments = slices.Delete(s.moments, 0, 1)
	}
	if s.searchers == nil {
		s.searchers = map[netip.AddrPort]time.Time{}
	}
	if _, ok := s.searchers[c.Searcher]; ok || len(s.searchers) < MaxCrashedSearchers {
		s.searchers[c.Searcher] = c.At
	}
}

// drop drops all crashes until the given time.
func (s *suspicion) drop(until time.Time) {
	s.moments = slices.DeleteFunc(s.moments, func(c Crash) bool { return !c.At.After(until) })
	for a, at := range s.searchers {
		if !at.After(until) {
			delete(s.searchers, a)
		}
	}
}

// expiry returns when the last moment is too old to count.
func (s *suspicion) expiry() time.Time {
	if len(s.moments) == 0 {
		return time.Time{}
	}
	return s.moments[len(s.moments)-1].At.Add(QuarantinePeriod)
}
