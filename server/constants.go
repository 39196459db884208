package server

import "time"

// Limits of callers' requests, and the timeouts and delays of answering them.
const (
	MaxBodyBytes       = 64 << 10
	MaxHeaderBytes     = 16 << 10
	BodyTimeout        = 2 * time.Second
	HeaderTimeout      = 2 * time.Second
	IdleTimeout        = 2 * time.Minute
	UnreadTimeout      = 15 * time.Second // for a caller to take a part of its answer, where the configuration has no idle timeout
	DefaultResultLimit = 20
	MaxResultLimit     = 1000

	// WidespreadDivisor: if more than 1/8 of the shards did not answer, or more than 1/8 of the attempts were refused,
	// that is too many to come from a few searchers or services, and counts as overload.
	WidespreadDivisor = 8

	// The fixed limits of the server for routes. The configuration has limits of its own, which hold where there is one.
	RouteHeaderBytes   = 256 << 10
	RouteHeaderTimeout = 10 * time.Second

	// A head is refused while it is received if it exceeds its limit by more than HeadSlackBytes: the bytes that are
	// received with its end may belong to the body, and its limit counts no blanks between a name and its value.
	HeadSlackBytes = 8 << 10
	// After such a refusal the VM reads up to RefusalReadBytes more, for up to RefusalWait.
	RefusalWait      = 500 * time.Millisecond
	RefusalReadBytes = 256 << 10

	// A line of a head counts as HeaderLineBytes, which the server's map of headers takes for it, besides its own bytes.
	HeaderLineBytes = 128
	WritePieceBytes = 16 << 10 // an answer is written in pieces of this size
	FirstBodyBytes  = 4 << 10  // what is kept for a body at first; it doubles as the body is received

	// A request on a route has its deadline TimeoutMargin before the end of the route's timeout, or ReturnMargin before
	// the end of the caller's time budget, whichever is earlier.
	TimeoutMargin = 20 * time.Millisecond
	ReturnMargin  = 10 * time.Millisecond
	// From ObjectiveMargin before the route's latency objective on, a gathered request ends as soon as it has the least
	// coverage.
	ObjectiveMargin = 22 * time.Millisecond

	MinRetryAfter   = 20 * time.Millisecond  // least Retry-After while searchers' limits are used up
	RouteRetryAfter = 100 * time.Millisecond // Retry-After of most refusals on routes

	StoreRetryAfter = time.Second // Retry-After on routes while the store has no configuration or too few searchers

	AcceptQueueWait  = 2 * time.Millisecond   // the accept queue counts as empty after this time without a new connection
	AcceptQueueLimit = 100 * time.Millisecond // the longest time for emptying the accept queue

	// In a planned stop, requests under way are answered AnswerMargin before they would be cut off. A new request is
	// refused unless so many objectives of its route are left, of a route whose requests must not run twice
	// NeededObjectivesOnce.
	AnswerMargin         = 100 * time.Millisecond
	NeededObjectives     = 2
	NeededObjectivesOnce = 4

	// While the server stops, a new connection counts as busy for FirstRequestWait, and a request that is not received
	// whole within this time is refused.
	FirstRequestWait  = 500 * time.Millisecond
	DrainPollInterval = 5 * time.Millisecond
)

// The headers of the callers' protocol.
const (
	HeaderRequest  = "Request-Id"
	HeaderDeadline = "Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
)
