package gatherer

// Bounds of one query.
const (
	MaxAttempts  = 4 // attempts per shard, all purposes together
	MaxHedges    = 3 // attempts per shard that are sent because the shard is slow to answer
	CanaryProbes = 2 // probes per query before its first answer
	PoisonLosses = 2 // lost connections from which on a request is suspected of crashing searchers
)
