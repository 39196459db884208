package observer

import "time"

// Parameters of the latency, refusals, ejection and draining of searchers, of hedge delays and of the quarantine.
const (
	// InitialLatency is the latency expected of a searcher or service without answers.
	InitialLatency = 2 * time.Millisecond
	// LatencyWeight is the weight of one answer in a searcher's moving average.
	LatencyWeight = 0.2
	// PeakFactor times the expected latency is the limit above which an answer counts as slow.
	PeakFactor = 3.0
	// SlowAnswers is how many slow answers in a row make a searcher count as slow with WithPauses.
	SlowAnswers = 2

	// TypicalWeight is the least weight of one answer in a service's typical latency.
	TypicalWeight = 0.05
	// HedgeAfterTypical returns TypicalHedge times the typical latency and at least MinTypicalHedge,
	// or UnknownHedge without answers.
	TypicalHedge    = 2.0
	MinTypicalHedge = 8 * time.Millisecond
	UnknownHedge    = 30 * time.Millisecond

	// RefusalWeight is the weight of one attempt in the share of attempts that a searcher refuses.
	RefusalWeight = 0.4
	// RefusalCost times that share is added to the cost of the searcher.
	RefusalCost = 150 * time.Millisecond
	// RefusalDecay is the time constant with which that share decays after the last refusal.
	RefusalDecay = 10 * time.Second

	// CensoredFactor times the time waited is the latency assumed for a cancelled attempt.
	CensoredFactor = 2.0
	// LatencyDecay is the time constant with which an expected latency returns to its base while no answer comes.
	LatencyDecay = 10 * time.Second

	// EjectAfter is the number of failures in a row that eject a searcher.
	EjectAfter = 3
	// An ejection lasts EjectBase, doubled for each earlier one since the last answer, and at most EjectMax.
	EjectBase = 500 * time.Millisecond
	EjectMax  = 10 * time.Second
	// MaxEjectedShare is the share of a service's searchers out of use beyond which ejections are ignored.
	MaxEjectedShare = 0.5
	// The cost of a searcher that has just started or returned is multiplied by ColdPenalty at first, and by a factor
	// that falls to 1 over SlowStart.
	SlowStart   = 5 * time.Second
	ColdPenalty = 4.0
	// DrainingMemory is how long after the last report of draining a searcher is believed to be draining.
	DrainingMemory = 60 * time.Second

	MinHedgeDelay = time.Millisecond
	// InitialHedge is the hedge delay of a service with fewer than MinHedgeSamples answers.
	InitialHedge    = 10 * time.Millisecond
	MinHedgeSamples = 20
	// HedgeRefresh is how long a computed quantile is reused.
	HedgeRefresh = 200 * time.Millisecond
	// The quantile is taken over the last LatencyWindows windows of WindowSamples answers each.
	LatencyWindows = 4
	WindowSamples  = 2000
	// MaxLatency is the longest latency in the windows; longer ones count as MaxLatency.
	MaxLatency = 10 * time.Second

	QuarantinePeriod = 10 * time.Minute
	MaxQuarantined   = 4096
	KnownGoodPeriod  = 10 * time.Minute
	MaxKnownGood     = 1 << 14
)
