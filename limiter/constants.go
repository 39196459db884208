package limiter

import "time"

// Bounds of the budgets.
const (
	MinBurst           = 40
	ConnectionHeadroom = 0.9
	ShareHeadroom      = 0.95
	RestartHeadroom    = 0.5
	RatioShare         = 0.92
	MinConcurrency     = 2
	InitialConcurrency = 64
	MaxConcurrency     = 4096
	UrgentHeadroom     = 1.25
	DecreaseFactor     = 0.85
	IncreaseStep       = 0.2
	IncreaseShare      = 0.04
	PressedFor         = time.Second
	AdjustInterval     = 100 * time.Millisecond
	ShedTolerance      = 0.02
	MinSamples         = 10
	SlackShare         = 0.8
	HedgeShare         = 0.7
)
