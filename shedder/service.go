package shedder

import "time"

// sample is the queue share of one answer.
type sample struct {
	at         time.Time
	queueShare float64
}

// service is what one VM knows of the queues of one service.
type service struct {
	samples  [SampleCount]sample // ring buffer of the latest samples
	next     int                 // position of the oldest sample, which the next one replaces
	base     windowMinimum       // time to answer without a queue
	credit   float64             // queries that still have to leave the service out, at most MaxCredit
	reported bool                // whether Changes last reported the service as overloaded
}

// observe records an answer of a shard: its latency without the network round trip, and the limit, the time from the
// query's start to its patience. If the round trip is shorter than assumed, the latency may be 0 or negative. Such an
// answer counts as one without a queue, and does not change the base.
func (s *service) observe(now time.Time, latency, limit time.Duration) {
	queueShare := 0.0
	if latency > 0 {
		queueShare = queueShareOf(s.base.observe(now, latency), latency, limit)
	}
	s.samples[s.next] = sample{now, queueShare}
	s.next = (s.next + 1) % SampleCount
}

// queueShareOf returns the latency in excess of the base, as a share of the limit in excess of the base.
func queueShareOf(base, latency, limit time.Duration) float64 {
	if limit <= base {
		return 1
	}
	return min(1, float64(latency-base)/float64(limit-base))
}

// minQueueShare returns the least queue share of the latest samples, so that a single pause of a searcher, or a single
// slow request, does not count as overload. It returns 0 if one of the samples is older than MaxSampleAge, and also
// before there are SampleCount answers, because an empty sample has the zero time.
func (s *service) minQueueShare(now time.Time) float64 {
	least := 1.0
	for _, x := range s.samples {
		if now.Sub(x.at) > MaxSampleAge {
			return 0
		}
		least = min(least, x.queueShare)
	}
	return least
}

// leftOutShare returns the share of queries that should leave the service out. It grows linearly between the two
// thresholds.
func (s *service) leftOutShare(now time.Time) float64 {
	overload := (s.minQueueShare(now) - OverloadThreshold) / (FullOverloadThreshold - OverloadThreshold)
	return MaxLeftOut * max(0, min(1, overload))
}

// addQuery counts a query, and reports whether it should leave the service out. Each query adds the current left-out
// share to the credit and should leave the service out if the credit reaches 1, so that such queries are spread evenly.
func (s *service) addQuery(now time.Time) bool {
	share := s.leftOutShare(now)
	if share == 0 {
		s.credit = 0
		return false
	}
	s.credit = min(s.credit+share, MaxCredit)
	return s.credit >= 1
}

// windowMinimum is the least value over the current and the previous window of BaseWindow.
type windowMinimum struct {
	start                   time.Time // of the current window
	currentMin, previousMin time.Duration
}

// observe records a duration and returns the least value.
func (m *windowMinimum) observe(now time.Time, d time.Duration) time.Duration {
	switch {
	case m.start.IsZero():
		m.start, m.currentMin, m.previousMin = now, d, d
	case now.Sub(m.start) > BaseWindow:
		m.start, m.previousMin, m.currentMin = now, m.currentMin, d
	}
	m.currentMin = min(m.currentMin, d)
	return m.value()
}

func (m *windowMinimum) value() time.Duration { return min(m.currentMin, m.previousMin) }
