package gatherer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Shard is one shard of the snapshot that the query is pinned to.
type Shard struct {
	Name      modeler.ShardName
	Documents uint64
	// LeftOut keeps the query from asking the shard, because its service is overloaded. A FailFast plan still asks it
	// if its least coverage is out of reach without it; see start and askLeftOut.
	LeftOut bool
}

// Plan is the part of a query that is fixed at its start.
type Plan struct {
	Request       modeler.RequestID
	Snapshot      modeler.SnapshotID
	Shards        []Shard
	Deadline      time.Time // the query ends here at the latest
	Patience      time.Time // from here on the query ends as soon as it has the least coverage
	LeastCoverage float64   // from 0 to 1
	KnownGood     bool      // the same request was answered lately, so it does not crash searchers
	Probes        int       // limit of the probes before the first answer, over all shards, without the one after Innocent

	// The scatterer sets these fields only for a request on a route, not for a search.
	MaxRuns          int  // limit of one shard's attempts that may have run; 0 means MaxAttempts
	AtMostOnce       bool // no attempt follows one that may have run
	FailFast         bool // the query ends once the least coverage is out of reach
	ChargeEveryRetry bool // every attempt after the first takes from the budget, unless the one before was never sent
}

// Hooks are the decisions that depend on state shared by many queries, or that a test replaces.
type Hooks struct {
	// Pick chooses a searcher of the shard that is not among those already tried; ok is false if there is none.
	Pick func(now time.Time, shard int32, tried []int32) (searcher int32, ok bool)
	// MaySend reports whether a searcher that was tried before may be sent another attempt now; nil allows it.
	MaySend func(now time.Time, searcher int32) bool
	// Spend takes an extra attempt from its budget and reports whether the budget allows it.
	Spend func(now time.Time, shard int32, p Purpose) bool
	// HedgeAfter returns how long an attempt of the shard may stay unanswered before it is hedged.
	HedgeAfter func(shard int32) time.Duration
	// Hold reports whether the query must not reach a second replica yet. A query is cleared of crashing searchers once
	// it has an answer, or from the start if the plan says KnownGood.
	Hold func(cleared bool) bool
	// Matches reports whether a sub-answer is the one that was asked for.
	Matches func(want, got Claim) bool
}

// HoldUntilCleared keeps a query from a second replica until an answer shows that it does not crash searchers.
func HoldUntilCleared(cleared bool) bool { return !cleared }

// MatchesExactly accepts a sub-answer only if it answers this attempt and covers all documents of the shard.
func MatchesExactly(want, got Claim) bool { return want == got }
