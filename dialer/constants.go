package dialer

import "time"

// Limits of connections and answers.
const (
	// MaxAnswerBytes is the default limit of an answer's body and a line end: the body may be two bytes shorter.
	MaxAnswerBytes = 1 << 20
	// MaxPartBytes limits, in the same way, the answer of one shard in a query over many: hundreds may be under way
	// at once.
	MaxPartBytes = 256 << 10

	// SmallAnswerBytes is the size up to which an answer needs no room of WithAnswerMemory.
	SmallAnswerBytes = 64 << 10

	DialTimeout = time.Second

	// IdleLimit is the time after which an idle connection is closed.
	IdleLimit = 30 * time.Second
	// ProvenPeriod is how long after its last read a connection counts as proven to work.
	ProvenPeriod = 500 * time.Millisecond
	// ShrinkPeriod is how long a budget is smaller by one after the searcher refused a connection over its limit.
	ShrinkPeriod = 5 * time.Second
	// ResetMemory is how long the last reset of a new connection is remembered; see recordReset.
	ResetMemory = 2 * time.Second
	// ProbationPeriod is how long, beyond a round trip, a new connection must survive before it is used
	// if the searcher may reset new connections.
	ProbationPeriod = 3 * time.Millisecond
	// CloseNoticeDelay is how long a searcher may still count a connection that the VM has closed.
	CloseNoticeDelay = 100 * time.Millisecond

	// Silent connections to SilentSearchers searchers are blamed on a device on the path if their exchanges started
	// within SilenceWindow; see silenceDetector.
	SilenceWindow   = 500 * time.Millisecond
	SilentSearchers = 2

	// The searcher is expected to allow 1 + budget/headroomDivisor connections beyond the VM's budget. This headroom
	// covers connections that the VM has closed and the searcher may still count; see hasRoom.
	headroomDivisor = 16

	// maxCarriedIDs is how many requests a connection remembers; see carriedIDs.
	maxCarriedIDs = 16

	writeBufferSize = 2 << 10
	readBufferSize  = 8 << 10
	userAgent       = "pistachiogap"
)

// Headers of the native searcher protocol.
const (
	HeaderRequest    = "Request-Id"
	HeaderAttempt    = "Attempt-Id" // repeated in each answer but the refusal of a connection
	HeaderSnapshot   = "Snapshot"
	HeaderShard      = "Shard"
	HeaderIndex      = "Index"
	HeaderDeadline   = "Deadline-Ms" // milliseconds left when the request is sent, at least 1
	HeaderDeadlineAt = "Deadline-At" // the same deadline as a Unix time in milliseconds
	HeaderHeld       = "Snapshots-Held"
	HeaderDraining   = "Draining"
	HeaderCheck      = "Content-Check" // CheckValue of the body
)
