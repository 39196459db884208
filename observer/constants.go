package observer

import "time"

// Bounds of what is known of searchers.
const (
	InitialLatency   = 2 * time.Millisecond
	LatencyWeight    = 0.2
	PeakFactor       = 3.0
	SlowAnswers      = 2
	TypicalWeight    = 0.05
	TypicalHedge     = 2.0
	MinTypicalHedge  = 8 * time.Millisecond
	UnknownHedge     = 30 * time.Millisecond
	RefusalWeight    = 0.4
	RefusalCost      = 150 * time.Millisecond
	RefusalDecay     = 10 * time.Second
	CensoredFactor   = 2.0
	LatencyDecay     = 10 * time.Second
	EjectAfter       = 3
	EjectBase        = 500 * time.Millisecond
	EjectMax         = 10 * time.Second
	MaxEjectedShare  = 0.5
	SlowStart        = 5 * time.Second
	ColdPenalty      = 4.0
	DrainingMemory   = 60 * time.Second
	MinHedgeDelay    = time.Millisecond
	InitialHedge     = 10 * time.Millisecond
	MinHedgeSamples  = 20
	HedgeRefresh     = 200 * time.Millisecond
	LatencyWindows   = 4
	WindowSamples    = 2000
	MaxLatency       = 10 * time.Second
	QuarantinePeriod = 10 * time.Minute
	MaxQuarantined   = 4096
	KnownGoodPeriod  = 10 * time.Minute
	MaxKnownGood     = 1 << 14
)
