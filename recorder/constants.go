package recorder

import "time"

// Limits of the recorder and its clock.
const (
	DefaultCapacity = 1 << 14   // events
	MaxSkew         = time.Hour // limit on how far an observed stamp may be ahead of the wall time
)
