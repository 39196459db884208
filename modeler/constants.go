package modeler

import "time"

// Bounds of values; lengths are in bytes.
const (
	MaxNameLength      = 100
	MaxRequestIDLength = 128
	MaxShards          = 20_000
	MaxDeadline        = time.Minute
	MinDeadline        = time.Millisecond
)
