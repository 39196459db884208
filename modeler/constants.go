package modeler

import "time"

// Bounds of the objects, in the units that their names give.
const (
	MaxNameLength      = 100
	MaxRequestIDLength = 128
	MaxShards          = 20_000
	MaxDeadline        = time.Minute
	MinDeadline        = time.Millisecond
)
