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

// MarkLeaving records that the searcher said in an answer that it leaves, and reports whether this is new. It gets no
// requests any more; a searcher that registers anew has a state of its own.
func (s *Searcher) MarkLeaving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !s.leaving && !now.Before(s.drainingUntil)
	if !s.leaving {
		s.leaving = true
		s.generation.Add(1)
	}
	return isNew
}

// AcceptsRequest reports whether the searcher takes a request from this VM now: it neither leaves nor drains, has not
// asked for no requests, and its limit leaves room. The reserve is that of Quota.Wait.
func (s *Searcher) AcceptsRequest(now time.Time, reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || now.Before(s.drainingUntil) || now.Before(s.backoffUntil) {
		return false
	}
	return s.limit.quota.Wait(now, reserve) == 0
}

// Connectable reports whether connections to the searcher may be opened ahead: it is neither ejected nor leaving, and has
// not asked for no requests.
func (s *Searcher) Connectable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && !now.Before(s.drainingUntil) && !now.Before(s.ejectedUntil) && !now.Before(s.backoffUntil)
}
