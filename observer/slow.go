package observer

import (
	"math"
	"time"
)

// slowReport is what other VMs have announced of a searcher: that its answers take much longer than usual for its
// service.
type slowReport struct {
	validUntil time.Time // as announced
	usedUntil  time.Time // when this VM tries the searcher again, at most validUntil
}

// ReportSlow records an announcement, valid until the given time, that the searcher is slow. It raises the searcher's
// expected latency until this VM has an answer that shows the opposite. It is used for a part of its validity only: for
// MinReportUse of it, and for the fraction (from 0 to 1) of the rest. With different fractions, VMs do not all try the
// searcher again at once. A report that is not valid for longer than the one known changes nothing, nor does a report of
// a service that this VM asks so often that it finds slow searchers by itself.
func (s *Searcher) ReportSlow(now, until time.Time, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until = earliest(until, now.Add(MaxReportValidity))
	if !until.After(s.report.validUntil) || !s.needsReports(now) {
		return
	}
	use := MinReportUse + (1-MinReportUse)*fraction
	s.report = slowReport{until, now.Add(time.Duration(use * float64(until.Sub(now))))}
}

// needsReports reports whether this VM asks the service too seldom to find slow searchers by itself.
func (s *Searcher) needsReports(now time.Time) bool {
	return s.service != nil && s.service.attemptRate(now) < MaxReportRate
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// slowDetector counts answers that show that a searcher is slow. A pause of the searcher delays all attempts that are
// under way, but none sent after it, so only answers to attempts that followed each other count.
type slowDetector struct {
	slow   int // in a row, leaving out answers that show nothing
	lastAt time.Time
}

// observe adds an answer that came at the time now to an attempt that was sent at the given time, and reports whether it
// shows that the searcher is not slow.
func (d *slowDetector) observe(now, sent time.Time, serviceTime, reference time.Duration) (notSlow bool) {
	ratio := float64(serviceTime) / float64(max(reference, MinReference))
	if reference == 0 || ratio < NotSlowFactor {
		d.slow = 0
		return true
	}
	if ratio < SlowFactor || sent.Before(d.lastAt) {
		return false
	}
	if sent.Sub(d.lastAt) > SlowGap {
		d.slow = 0
	}
	d.slow++
	d.lastAt = now
	return false
}

// CompareServiceTime records for TakeSlow an answer of one shard of a query. The service time is the latency without the
// round trip to the searcher, the reference the time after which half of the query's shards had answered, or 0 if half
// had not yet.
func (s *Searcher) CompareServiceTime(now, sent time.Time, serviceTime, reference time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness.observe(now, sent, serviceTime, reference) {
		s.report.usedUntil = now
	}
}

// TakeSlow reports whether the other VMs should be told that the searcher is slow: this VM found it slow, and no report
// that it has announced or received stays valid for ReportRenewal. The caller announces it until the returned time.
func (s *Searcher) TakeSlow(now time.Time) (until time.Time, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness.slow < SlowInARow || s.report.validUntil.Sub(now) > ReportRenewal {
		return time.Time{}, false
	}
	s.slowness.slow = 0
	until = now.Add(MaxReportValidity)
	s.report = slowReport{until, until}
	return until, true
}

// reportedLatency returns the latency that a report makes this VM expect, or 0 if none is in use.
func (s *Searcher) reportedLatency(now time.Time) float64 {
	if s.service == nil || !now.Before(s.report.usedUntil) {
		return 0
	}
	return ReportedFactor * s.service.TypicalLatency()
}

// decayingCount counts events, and forgets them with the time constant RateDecay.
type decayingCount struct {
	count float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.value(now) + 1
	c.at = now
}

func (c *decayingCount) value(now time.Time) float64 {
	return c.count * math.Exp(-float64(max(0, now.Sub(c.at)))/float64(RateDecay))
}
