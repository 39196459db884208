package recorder

import "time"

// Bounds of what is recorded.
const (
	DefaultCapacity = 1 << 14
	MaxSkew         = time.Hour
)
