package shedder

import "time"

// sample is the queueing delay that one query found, as a share of the time that it had.
type sample struct {
	at    time.Time
	queue float64
}

// service is what one VM knows of the queue of one service.
type service struct {
	recent [Samples]sample
	next   int
	base   minimum
	due    float64
	told   bool // last reported as overloaded
}

// observe takes the time that a shard took to answer, without the link, of the time that its query had for it.
func (s *service) observe(now time.Time, took, had time.Duration) {
	queue := 0.0
	if took > 0 { // a link may be shorter than it is taken for
		queue = queueOf(s.base.observe(now, took), took, had)
	}
	s.recent[s.next] = sample{now, queue}
	s.next = (s.next + 1) % Samples
}

// queueOf returns the part of the time that was spent beyond the base, as a share of what the query had beyond it.
func queueOf(base, took, had time.Duration) float64 {
	if had <= base {
		return 1
	}
	return min(1, float64(took-base)/float64(had-base))
}

// queue returns the least queueing delay of the latest samples; a single pause of a searcher, or a single slow request, is no overload.
func (s *service) queue(now time.Time) float64 {
	least := 1.0
	for _, x := range s.recent {
		if now.Sub(x.at) > SampleAge {
			return 0
		}
		least = min(least, x.queue)
	}
	return least
}

// leftOut returns the share of queries that leave the service out.
func (s *service) leftOut(now time.Time) float64 {
	over := (s.queue(now) - ShortFrom) / (FullFrom - ShortFrom)
	return MostLeftOut * max(0, min(1, over))
}

// isDue counts a query, and reports whether it is one that leaves the service out; these are spread evenly over all queries.
func (s *service) isDue(now time.Time) bool {
	share := s.leftOut(now)
	if share == 0 {
		s.due = 0
		return false
	}
	s.due = min(s.due+share, MostDue)
	return s.due >= 1
}

// minimum is the least value of the current and the last window.
type minimum struct {
	start         time.Time
	current, last time.Duration
}

func (m *minimum) observe(now time.Time, d time.Duration) time.Duration {
	switch {
	case m.start.IsZero():
		m.start, m.current, m.last = now, d, d
	case now.Sub(m.start) > BaseWindow:
		m.start, m.last, m.current = now, m.current, d
	}
	m.current = min(m.current, d)
	return m.least()
}

func (m *minimum) least() time.Duration { return min(m.current, m.last) }
