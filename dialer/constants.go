package dialer

import "time"

// Bounds of connections and answers.
const (
	MaxAnswerBytes   = 1 << 20
	MaxPartBytes     = 256 << 10 // of one shard of many: hundreds may be under way at once
	DialTimeout      = time.Second
	IdleLimit        = 30 * time.Second
	ProvenPeriod     = 500 * time.Millisecond
	ShrinkPeriod     = 5 * time.Second
	ResetMemory      = 2 * time.Second      // for which a reset of a new connection is remembered
	ProbationPeriod  = 3 * time.Millisecond // until a new connection that is not reset is used
	CloseNoticeDelay = 100 * time.Millisecond
	SilenceWindow    = 500 * time.Millisecond
	SilentSearchers  = 2
	headroomDivisor  = 16 // one closed connection in so many of the budget is left to its headroom
	writeBufferSize  = 2 << 10
	readBufferSize   = 8 << 10
	userAgent        = "pistachiogap"
)

// The headers of the searcher protocol.
const (
	HeaderRequest    = "Request-Id"
	HeaderAttempt    = "Attempt-Id"
	HeaderSnapshot   = "Snapshot"
	HeaderShard      = "Shard"
	HeaderIndex      = "Index"
	HeaderDeadline   = "Deadline-Ms"
	HeaderDeadlineAt = "Deadline-At"
	HeaderHeld       = "Snapshots-Held"
	HeaderDraining   = "Draining"
	HeaderCheck      = "Content-Check"
)
