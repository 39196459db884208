package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits          = 1000
	CheckTimeout     = 300 * time.Millisecond // of the liveness check of one searcher
	DiagnosisTimeout = time.Second            // of a diagnosis after the query has ended
	RecheckAfter     = 50 * time.Millisecond  // between the two checks of a failure domain before the verdict Poisonous
	MaxOwnControls   = 3                      // control searchers of the query's services per failure domain
	MaxOtherControls = 5                      // of other services; another part of the request may have crashed some
	StallLimit       = 30 * time.Millisecond  // time without an answer after which a searcher is avoided
	StallFactor      = 2.5                    // stall limit of a single-shard request, in typical latencies of its service
	PartLinger       = 300 * time.Millisecond // how long a cancelled attempt awaits its answer in a multi-shard request
	SingleLinger     = 20 * time.Millisecond  // the same in a single-shard request
	extraResults     = 16                     // room in the result channel for extra attempts and verdicts
)
