package limiter

import "time"

// Constants of the budgets, of shares of connections and of admission.
const (
	MinBurst = 40 // least burst of a hedge or retry budget, in sends

	// Fractions of the connections that a searcher publishes as its limit.
	ConnectionFraction = 0.9 // that Connections divides over the VMs
	// ShareFraction is the fraction that all shares of ShareOfThin may use together. In ShareOf it limits the far holders:
	// they get what the near holders of two incarnations leave of it.
	ShareFraction       = 0.95
	IncarnationFraction = 0.5 // that one incarnation of the fleet may use, so that those of two fit

	// Constants of an Admitter.
	MinConcurrency     = 2
	InitialConcurrency = 64
	MaxConcurrency     = 4096
	UrgentFactor       = 1.25 // the limit for urgent requests, relative to that for others
	DecreaseFactor     = 0.85
	IncreaseStep       = 0.2
	IncreaseShare      = 0.04        // of the limit, added to it together with IncreaseStep
	PressurePeriod     = time.Second // for which UnderPressure reports true after the limit was lowered
	AdjustInterval     = 100 * time.Millisecond
	ShedTolerance      = 0.02 // signs of overload per attempt, above which the limit is lowered; see Admitter.Observe
	MinSamples         = 10   // attempts since the last adjustment that the next one needs

	// A searcher's limit counts as at least MinQuota, in requests per second, so that the VMs notice its end.
	MinQuota      = 0.5
	TrialFraction = 0.05        // of the limit, for VMs that do not share it
	MaxQuotaWait  = time.Minute // longest time that Quota.Wait returns

	SlackFraction = 0.8         // of an allowance's slack that is divided over the VMs
	TransitTime   = time.Second // longest time for which an extra send is expected to be on its way
	// Fractions of what a VM may send that hedges and probes on routes may use up. Retries may use all of it.
	NonRetryShare = 0.7
	NeededShare   = 0.95 // replaces NonRetryShare for hedges without which a request over many shards misses its least coverage

	// RunningDivisor is the part of an Intake's bytes that requests may hold while they are being served. An eviction
	// makes room for EvictionDivisor of the bound.
	RunningDivisor  = 2
	EvictionDivisor = 16
	// The age of a connection that has finished no request counts as many times as that of an idle one.
	UnfinishedWeight = 16
)
