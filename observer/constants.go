package observer

import "time"

// Parameters of the latency, refusals, ejection and draining of searchers, of hedge delays and of the quarantine.
const (
	// InitialLatency is the latency expected of a searcher or service without answers.
	InitialLatency = 2 * time.Millisecond
	// LatencyWeight is the weight of one answer in a searcher's moving average.
	LatencyWeight = 0.2
	// PeakFactor times the expected latency is the limit above which an answer counts as slow.
	// In a service's typical latency, no answer counts as more than PeakFactor times the typical latency so far.
	PeakFactor = 3.0
	// SlowAnswers is how many slow answers in a row make a searcher count as slow with WithPauses.
	SlowAnswers = 2

	// An answer of one shard shows that its searcher is slow if its service time is above SlowFactor times the reference,
	// the time after which half of the query's shards had answered, and that it is not if it is below NotSlowFactor times
	// the reference. References below MinReference count as MinReference. SlowInARow slow answers make a searcher slow, if
	// each attempt began within SlowGap after the slow answer before.
	SlowFactor    = 5.0
	NotSlowFactor = 1.5
	MinReference  = 6 * time.Millisecond
	SlowInARow    = 2
	SlowGap       = 2 * time.Second
	// A report that a searcher is slow is valid for MaxReportValidity at most, and used for at least the share MinReportUse
	// of its validity. It is renewed once it stays valid for less than ReportRenewal.
	MaxReportValidity = 5 * time.Second
	ReportRenewal     = 2500 * time.Millisecond
	MinReportUse      = 0.5
	// A VM that has sent a service MaxReportRate attempts in about the last RateDecay uses no reports of its searchers.
	MaxReportRate = 10.0
	RateDecay     = time.Second
	// ReportedFactor times the typical latency of its service is expected of a reported searcher.
	ReportedFactor = 10.0

	// TypicalWeight is the least weight of one answer in a service's typical latency.
	TypicalWeight = 0.05
	// HedgeAfterTypical, the hedge delay on routes, is TypicalHedge times the typical latency of the service, and at
	// least MinTypicalHedge. While the service has no answers it is UnknownHedge.
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
	// LatencyDecay is the time constant with which a searcher's expected latency returns, while no answer comes, to
	// InitialLatency, or with WithPauses to the typical latency of its service.
	LatencyDecay = 10 * time.Second

	// EjectAfter is the number of failures in a row that eject a searcher.
	EjectAfter = 3
	// An ejection lasts EjectBase, doubled for each earlier one since the last answer, and at most EjectMax.
	EjectBase = 500 * time.Millisecond
	EjectMax  = 10 * time.Second
	// If more than the share MaxEjectedShare of a service's searchers cannot be used, ejected ones may be used too.
	MaxEjectedShare = 0.5
	// The cost of a searcher is multiplied by a factor that falls from ColdPenalty to 1 over SlowStart. This period
	// begins at the end of an ejection, and for a searcher that has started (see SetSlowUntil) it ends when the searcher
	// is no longer slow.
	SlowStart   = 5 * time.Second
	ColdPenalty = 4.0
	// DrainingMemory is how long after the last report of draining a searcher counts as draining.
	DrainingMemory = 60 * time.Second

	// DefaultMaxBackoff is the longest time for which a searcher that asks for it gets no requests, unless the settings say
	// otherwise. It bounds what one searcher that asks for too much can do to its shard.
	DefaultMaxBackoff = 10 * time.Minute
	// DividePeriod is how long a VM's part of a searcher's limit is used before the limit is divided again.
	DividePeriod = time.Second

	MinHedgeDelay = time.Millisecond
	// HedgeDelay, the hedge delay of searches, is InitialHedge while the service has fewer than MinHedgeSamples answers.
	// A shard without a service has InitialHedge too.
	InitialHedge    = 10 * time.Millisecond
	MinHedgeSamples = 20
	// HedgeRefresh is how long a computed quantile is reused.
	HedgeRefresh = 200 * time.Millisecond
	// The quantile is taken over the last LatencyWindows windows of WindowSamples answers each.
	LatencyWindows = 4
	WindowSamples  = 2000
	// MaxLatency is the longest latency in the windows; longer ones count as MaxLatency.
	MaxLatency = 10 * time.Second

	// QuarantinePeriod is how long a request that crashes searchers is quarantined, and how long a crash counts. A Quarantine
	// holds at most MaxQuarantined quarantined and as many suspect requests, with MaxCrashMoments moments and
	// MaxCrashedSearchers searchers each.
	QuarantinePeriod    = 10 * time.Minute
	MaxQuarantined      = 4096
	MaxCrashMoments     = 8
	MaxCrashedSearchers = 64
	// A request is quarantined once its crashes need PoisonMoments moments to explain them, or KnownGoodMoments if it was
	// answered lately. The searchers of a failing domain crash within CrashSpan, which only counts for the latter: a request
	// that was never answered is compared with control searchers in its place.
	PoisonMoments    = 2
	KnownGoodMoments = 3
	CrashSpan        = time.Second
	// ToldCrashSpan is CrashSpan with the difference of two VMs' times of day.
	ToldCrashSpan = 3 * time.Second
	// TrialDelay is how long after its quarantine one request is let through.
	TrialDelay = 30 * time.Second
	// KnownGoodPeriod is how long an answered request is known to be good. A Quarantine holds at most MaxKnownGood.
	KnownGoodPeriod = 10 * time.Minute
	MaxKnownGood    = 1 << 14
)
