package scatterer

import "time"

// Bounds of one query's run.
const (
	MaxHits          = 1000
	CheckTimeout     = 100 * time.Millisecond
	BystandersPerSet = 2
	MaxBystanders    = 8
	eventSlack       = 16
)
