package gatherer

// Bounds of one query.
const (
	MaxTries     = 4
	MaxHedges    = 3
	CanaryProbes = 2
	PoisonLosses = 2
)
