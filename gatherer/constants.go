package gatherer

// Bounds of one query.
const (
	MaxTries     = 4
	CanaryProbes = 2
	PoisonLosses = 2
)
