package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits          = 1000                   // hits in the result of a search, even if the request's limit is higher
	CheckTimeout     = 300 * time.Millisecond // of the check of one searcher; in diagnoseLateForward, of all checks together
	DiagnosisTimeout = time.Second            // of the diagnosis after a search has ended; diagnoseLateForward has CheckTimeout
	RecheckAfter     = 50 * time.Millisecond  // between the two checks of a failure domain before the verdict Poisonous
	MaxOwnControls   = 3                      // control searchers (see controls) of the query's services per failure domain
	MaxOtherControls = 5                      // of other services; checked if none of the query's services is left there
	// MaxAnnouncedCrashes limits the crashes of one request that other VMs are told: a request over many shards may end many
	// searchers at one moment.
	MaxAnnouncedCrashes = 4
	StallLimit          = 30 * time.Millisecond  // time without an answer after which a searcher is avoided
	StallFactor         = 2.5                    // stall limit of a single-shard request, in typical latencies of its service
	PartLinger          = 300 * time.Millisecond // Linger of the calls of a multi-shard request on a route; see dialer.Call
	SingleLinger        = 20 * time.Millisecond  // Linger of the calls of a single-shard request on a route
	FreeScarcity        = 0.5                    // scarcity of a shard (see planner.Picker) up to which no request goes without it
	MinCompared         = 4                      // shards that a request needs for their times to be compared
	fractionSteps       = 1000                   // equally spaced random fractions from 0 to 1
	extraResults        = 16                     // room in the result channel for extra attempts and verdicts
)
