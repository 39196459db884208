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

// Scatterer runs sub-queries on searchers for one VM.
type Scatterer struct {
	Dialer     *dialer.Dialer
	Observer   *observer.Observer
	Quarantine *observer.Quarantine
	Recorder   *recorder.Recorder
	Budgets    *limiter.Budgets
	Windows    *limiter.Windows
	Shedder    *shedder.Shedder

	starved  atomic.Int64
	now      func() time.Time
	random   func(n int) int
	hold     func(cleared bool) bool
	matches  func(want, got gatherer.Claim) bool
	draining func(*planner.Searcher)
	poisoned func(observer.Fingerprint, time.Time)
	suspect  func(observer.Fingerprint, time.Time)
	spend    func(p gatherer.Purpose, hedges, retries *limiter.Budget) bool
	hedgeAt  func(learned time.Duration) time.Duration
	pressed  func(now time.Time) bool
}

// Option changes a Scatterer under construction.
type Option func(*Scatterer)

// WithClock sets the source of the time.
func WithClock(f func() time.Time) Option { return func(s *Scatterer) { s.now = f } }

// WithHold sets the rule that keeps a query with a lost connection from a second replica.
func WithHold(f func(cleared bool) bool) Option { return func(s *Scatterer) { s.hold = f } }

// WithMatch sets the rule by which a sub-answer is accepted.
func WithMatch(f func(want, got gatherer.Claim) bool) Option {
	return func(s *Scatterer) { s.matches = f }
}

// WithDraining sets what is told of a searcher found to be leaving.
func WithDraining(f func(*planner.Searcher)) Option { return func(s *Scatterer) { s.draining = f } }

// WithPoisoned sets what is told of a request that is quarantined until the time.
func WithPoisoned(f func(observer.Fingerprint, time.Time)) Option {
	return func(s *Scatterer) { s.poisoned = f }
}

// WithSuspect sets what is told of a request that crashed one searcher, and until when that is remembered.
func WithSuspect(f func(observer.Fingerprint, time.Time)) Option {
	return func(s *Scatterer) { s.suspect = f }
}

// WithSpend sets the rule that allows or denies an extra attempt.
func WithSpend(f func(p gatherer.Purpose, hedges, retries *limiter.Budget) bool) Option {
	return func(s *Scatterer) { s.spend = f }
}

// WithPressure sets what tells that the searchers are behind.
func WithPressure(f func(now time.Time) bool) Option { return func(s *Scatterer) { s.pressed = f } }

// WithHedgeDelay sets the hedge delay from the one that was learned.
func WithHedgeDelay(f func(learned time.Duration) time.Duration) Option {
	return func(s *Scatterer) { s.hedgeAt = f }
}

// SpendBudgets takes hedges and retries from their own budgets; the last half of the hedges is left to shards that are late by more than one hedge delay.
func SpendBudgets(p gatherer.Purpose, hedges, retries *limiter.Budget) bool {
	switch p {
	case gatherer.Hedge:
		return hedges.SpendAboveHalf()
	case gatherer.LateHedge:
		return hedges.Spend()
	}
	return retries.Spend()
}

// NewScatterer makes a scatterer over the shared state of one VM.
func NewScatterer(d *dialer.Dialer, o *observer.Observer, q *observer.Quarantine, r *recorder.Recorder, options ...Option) *Scatterer {
	s := &Scatterer{
		Dialer: d, Observer: o, Quarantine: q, Recorder: r,
		Budgets:  limiter.NewBudgets(),
		now:      time.Now,
		random:   rand.IntN,
		hold:     gatherer.HoldUntilCleared,
		matches:  gatherer.MatchesExactly,
		draining: func(*planner.Searcher) {},
		poisoned: func(observer.Fingerprint, time.Time) {},
		suspect:  func(observer.Fingerprint, time.Time) {},
		spend:    SpendBudgets,
		pressed:  func(time.Time) bool { return false },
		hedgeAt:  func(learned time.Duration) time.Duration { return learned },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Starved returns how many attempts ran out of time in line for a connection since it was last asked.
func (s *Scatterer) Starved() int { return int(s.starved.Swap(0)) }

// Request is one search, or the part of one that this VM runs.
type Request struct {
	ID       modeler.RequestID
	View     *planner.View
	Index    *planner.Index
	Snapshot *planner.Snapshot
	Body     []byte
	Limit    int
	Deadline time.Time
	Forward  *Forward
}

// Forward is what a request on a route has beside a search: the caller's message, and how often it may run.
type Forward struct {
	Message     *dialer.Message
	Patience    time.Time
	Attempts    int
	AtMostOnce  bool
	Fingerprint observer.Fingerprint
}

// Result is what a search came to.
type Result struct {
	Snapshot  modeler.SnapshotID
	Hits      []dialer.Hit
	Shards    int
	Answered  int
	Documents uint64
	Total     uint64
	Missing   []modeler.ShardName
	Sent      int
	Primaries int
	Shed      int
	Lost      int
	Crashed   bool
	NotHeld   bool
	Refused   bool

	Parts      []Part
	Failure    *dialer.Reply
	MayHaveRun bool
	Faults     gatherer.FaultCounts
	LeftOut    []modeler.ShardName
}

// Part is the answer of one shard of a route.
type Part struct {
	Shard int32
	Reply dialer.Reply
}

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
