package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits      = 1000
	CheckTimeout = 300 * time.Millisecond
	JudgeTimeout = time.Second
	RecheckAfter = 50 * time.Millisecond
	Bystanders   = 3
	eventSlack   = 16
)
