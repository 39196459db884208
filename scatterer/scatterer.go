package scatterer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/shedder"
)

// Scatterer runs the queries of one VM. The queries share its connections, budgets and health records.
type Scatterer struct {
	Dialer     *dialer.Dialer
	Observer   *observer.Observer
	Quarantine *observer.Quarantine
	Recorder   *recorder.Recorder
	Budgets    *limiter.Budgets
	Windows    *limiter.Windows // budget of the extra attempts on routes, per service
	Shedder    *shedder.Shedder // nil if no shard is ever left out

	starvedAttempts atomic.Int64
	now             func() time.Time
	random          func(n int) int
	hold            func(cleared bool) bool
	matches         func(want, got gatherer.Claim) bool
	onDraining      func(*planner.Searcher)
	onSlow          func(s *planner.Searcher, until time.Time)
	onLimit         func(s *planner.Searcher, l modeler.RateLimit, change observer.LimitChange)
	onBackoff       func(s *planner.Searcher, d time.Duration)
	maxBackoff      time.Duration
	divide          func(s *planner.Searcher, perSecond float64) limiter.QuotaPart
	onQuarantine    func(observer.Fingerprint, time.Time)
	onSuspect       func(observer.Fingerprint, observer.Crash)
	onGood          func(observer.Fingerprint, time.Time)
	spend           func(p gatherer.Purpose, hedges, retries *limiter.Budget) bool
	hedgeDelay      func(learned time.Duration) time.Duration
	underPressure   func(now time.Time) bool
}

// Option changes a Scatterer under construction.
type Option func(*Scatterer)

// WithClock sets the source of the time.
func WithClock(f func() time.Time) Option { return func(s *Scatterer) { s.now = f } }

// WithHold sets the rule that decides whether a query must not reach a second replica yet; see gatherer.Hooks.
func WithHold(f func(cleared bool) bool) Option { return func(s *Scatterer) { s.hold = f } }

// WithMatch sets the rule that accepts or rejects a sub-answer.
func WithMatch(f func(want, got gatherer.Claim) bool) Option {
	return func(s *Scatterer) { s.matches = f }
}

// WithOnDraining sets the callback for a searcher that was found to be draining.
func WithOnDraining(f func(*planner.Searcher)) Option { return func(s *Scatterer) { s.onDraining = f } }

// WithOnSlow sets the callback for a searcher that the other VMs should be told is slow, until the given time.
func WithOnSlow(f func(s *planner.Searcher, until time.Time)) Option {
	return func(s *Scatterer) { s.onSlow = f }
}

// WithOnLimit sets the callback for a searcher whose answers begin or cease to state a limit.
func WithOnLimit(f func(s *planner.Searcher, l modeler.RateLimit, change observer.LimitChange)) Option {
	return func(s *Scatterer) { s.onLimit = f }
}

// WithOnBackoff sets the callback for a searcher that asks for no requests during the given time.
func WithOnBackoff(f func(s *planner.Searcher, d time.Duration)) Option {
	return func(s *Scatterer) { s.onBackoff = f }
}

// WithMaxBackoff sets the longest time for which a searcher that asks for it gets no requests.
func WithMaxBackoff(d time.Duration) Option { return func(s *Scatterer) { s.maxBackoff = d } }

// WithDivide sets the function that returns this VM's part of a searcher's limit, in requests per second. Without it the
// VM uses the whole limit.
func WithDivide(f func(s *planner.Searcher, perSecond float64) limiter.QuotaPart) Option {
	return func(s *Scatterer) { s.divide = f }
}

// WithOnQuarantine sets the callback for a request that crashes searchers, with the time until which it is quarantined.
func WithOnQuarantine(f func(observer.Fingerprint, time.Time)) Option {
	return func(s *Scatterer) { s.onQuarantine = f }
}

// WithOnSuspect sets the callback for a crash of a searcher that was running a request on a route. It is not called for
// searches.
func WithOnSuspect(f func(observer.Fingerprint, observer.Crash)) Option {
	return func(s *Scatterer) { s.onSuspect = f }
}

// WithOnGood sets the callback for a suspect or quarantined request that was answered, with the time of the answer.
func WithOnGood(f func(observer.Fingerprint, time.Time)) Option {
	return func(s *Scatterer) { s.onGood = f }
}

// WithSpend sets the rule that allows or denies an extra attempt.
func WithSpend(f func(p gatherer.Purpose, hedges, retries *limiter.Budget) bool) Option {
	return func(s *Scatterer) { s.spend = f }
}

// WithPressure sets the function that reports whether the searchers have fallen behind their load.
func WithPressure(f func(now time.Time) bool) Option {
	return func(s *Scatterer) { s.underPressure = f }
}

// WithHedgeDelay sets the function that returns the hedge delay, given the one learned from recent latencies.
func WithHedgeDelay(f func(learned time.Duration) time.Duration) Option {
	return func(s *Scatterer) { s.hedgeDelay = f }
}

// SpendBudgets takes hedges from the hedge budget, and retries and probes from the retry budget. First hedges may
// only use the upper half of the hedge budget; the lower half is left to shards that are late by more than one hedge
// delay.
func SpendBudgets(p gatherer.Purpose, hedges, retries *limiter.Budget) bool {
	switch p {
	case gatherer.Hedge:
		return hedges.SpendAboveHalf()
	case gatherer.LateHedge:
		return hedges.Spend()
	}
	return retries.Spend()
}

// NewScatterer returns a scatterer that uses the shared state of one VM.
func NewScatterer(d *dialer.Dialer, o *observer.Observer, q *observer.Quarantine, r *recorder.Recorder, options ...Option) *Scatterer {
	s := &Scatterer{
		Dialer: d, Observer: o, Quarantine: q, Recorder: r,
		Budgets:    limiter.NewBudgets(),
		now:        time.Now,
		random:     rand.IntN,
		hold:       gatherer.HoldUntilCleared,
		matches:    gatherer.MatchesExactly,
		onDraining: func(*planner.Searcher) {},
		onSlow:     func(*planner.Searcher, time.Time) {},
		onLimit:    func(*planner.Searcher, modeler.RateLimit, observer.LimitChange) {},
		onBackoff:  func(*planner.Searcher, time.Duration) {},
		maxBackoff: observer.DefaultMaxBackoff,
		divide: func(_ *planner.Searcher, perSecond float64) limiter.QuotaPart {
			return limiter.QuotaPartOf(perSecond, 1, 0)
		},
		onQuarantine:  func(observer.Fingerprint, time.Time) {},
		onSuspect:     func(observer.Fingerprint, observer.Crash) {},
		onGood:        func(observer.Fingerprint, time.Time) {},
		spend:         SpendBudgets,
		underPressure: func(time.Time) bool { return false },
		hedgeDelay:    func(learned time.Duration) time.Duration { return learned },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// TakeStarvedAttempts returns how many attempts have reached their deadline without a connection since its last call.
func (s *Scatterer) TakeStarvedAttempts() int { return int(s.starvedAttempts.Swap(0)) }

// Run scatters the request over the shards of its snapshot and gathers the answers until its deadline.
func (s *Scatterer) Run(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := newRun(s, req)
	r.loop(ctx)
	r.observeMissing()
	r.diagnoseLate(ctx)
	return r.result()
}
