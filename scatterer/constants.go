package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits       = 1000
	CheckTimeout  = 300 * time.Millisecond
	JudgeTimeout  = time.Second
	RecheckAfter  = 50 * time.Millisecond
	ControlsAsked = 3
	OthersAsked   = 5 // some of them may have been crashed by another part of the request
	StallLimit    = 30 * time.Millisecond
	StallFactor   = 2.5
	PartLinger    = 300 * time.Millisecond
	SingleLinger  = 20 * time.Millisecond
	eventSlack    = 16
)
