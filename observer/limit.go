package observer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// statedLimit is the limit that a searcher states in its answers, and this VM's quota of it.
type statedLimit struct {
	perSecond float64
	statedAt  time.Time // by the last answer
	dividedAt time.Time // when this VM's part was computed
	quota     limiter.Quota
}

// LimitChange says how an answer changed what is known of a searcher's limit.
type LimitChange uint8

// The changes of a limit.
const (
	LimitUnchanged LimitChange = iota // or only its value changed
	LimitBegan
	LimitEnded
)

// Divide returns this VM's part of a limit in requests per second.
type Divide func(perSecond float64) limiter.QuotaPart

// StateLimit records what an answer states of its searcher's limit, and reports whether a limit began or ended. The
// attempt was sent at the given time. Answers can arrive in another order than they were given, so a limit ends only by
// the answer to an attempt that was sent after the limit was last stated. The fraction is that of Quota.Set.
func (s *Searcher) StateLimit(now, sent time.Time, l modeler.RateLimit, divide Divide, fraction float64) LimitChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.limit
	switch {
	case l.State == modeler.Stated:
		began := !x.quota.Limited()
		if began || l.PerSecond != x.perSecond || now.Sub(x.dividedAt) >= DividePeriod {
			x.quota.Set(now, divide(l.PerSecond), fraction)
			x.perSecond, x.dividedAt = l.PerSecond, now
		}
		x.statedAt = now
		if began {
			return LimitBegan
		}
	case l.State == modeler.NotStated && x.quota.Limited() && sent.After(x.statedAt):
		*x = statedLimit{}
		return LimitEnded
	}
	return LimitUnchanged
}

// Wait returns how long the VM must wait before its next request to the searcher, because the searcher has asked for none
// or because of its limit. The reserve is that of Quota.Wait.
func (s *Searcher) Wait(now time.Time, reserve float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.backoffUntil.Sub(now), s.limit.quota.Wait(now, reserve))
}

// Tokens returns how many requests the searcher's limit lets the VM send at once, how many at most, and whether there is
// a limit.
func (s *Searcher) Tokens(now time.Time) (tokens, burst float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, burst = s.limit.quota.Tokens(now)
	return tokens, burst, s.limit.quota.Limited()
}

// Take counts a request that is sent to the searcher against its limit.
func (s *Searcher) Take(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.quota.Take(now)
}

// GiveBack takes back a request that was counted by Take but not sent.
func (s *Searcher) GiveBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.quota.GiveBack()
}
