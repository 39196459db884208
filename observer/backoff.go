package observer

import "time"

// BackOff records that the searcher has refused a request and asked for none during the given time, and reports whether
// it asked for none before. Afterwards its cost is raised for SlowStart, so that requests return gradually.
func (s *Searcher) BackOff(now time.Time, d time.Duration) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := now.Add(d)
	if !until.After(s.backoffUntil) {
		return false
	}
	isNew = !now.Before(s.backoffUntil)
	s.backoffUntil, s.penaltyStart = until, until
	return isNew
}

// BackingOff reports whether the searcher has asked for no requests now.
func (s *Searcher) BackingOff(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.backoffUntil)
}
