package observer

import "time"

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

// SetUsableUntil sets until when a searcher that is no longer registered as ready may be sent requests; zero if it is
// registered as ready.
func (s *Searcher) SetUsableUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usableUntil = until
}

// Registered reports whether the searcher is registered as ready.
func (s *Searcher) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableUntil.IsZero()
}

// HasLeft reports whether the time is over in which a searcher that is no longer registered as ready may be sent requests,
// or the searcher is gone; see markGone.
func (s *Searcher) HasLeft(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasLeft(now)
}

func (s *Searcher) hasLeft(now time.Time) bool {
	return s.gone || (!s.usableUntil.IsZero() && !now.Before(s.usableUntil))
}

// markGone records that another searcher, or another incarnation of this one, has the address now, or that the
// registration was dropped.
func (s *Searcher) markGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

// MaySend reports whether a request may be written to the searcher now: it neither drains nor leaves nor has left, and has
// not asked for no requests. All VMs' news and all views of the configuration change the one state that it reads, so it
// holds for requests that were assigned to the searcher before.
func (s *Searcher) MaySend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maySend(now)
}

func (s *Searcher) maySend(now time.Time) bool {
	return !s.leaving && !now.Before(s.drainingUntil) && !now.Before(s.backoffUntil) && !s.hasLeft(now)
}

// AcceptsRequest reports whether the searcher takes a request from this VM now: MaySend says so, and its limit leaves room.
// The reserve is that of Quota.Wait.
func (s *Searcher) AcceptsRequest(now time.Time, reserve float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maySend(now) && s.limit.quota.Wait(now, reserve) == 0
}

// Connectable reports whether connections to the searcher may be opened ahead: MaySend says so, and it is registered as
// ready and not ejected.
func (s *Searcher) Connectable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maySend(now) && s.usableUntil.IsZero() && !now.Before(s.ejectedUntil)
}
