package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits      = 1000
	CheckTimeout = 100 * time.Millisecond
	JudgeTimeout = 500 * time.Millisecond
	RecheckAfter = 50 * time.Millisecond
	Bystanders   = 3
	eventSlack   = 16
)
