package server

import "time"

// Bounds of what callers may send.
const (
	MaxBodyBytes   = 64 << 10
	MaxHeaderBytes = 16 << 10
	BodyTimeout    = 2 * time.Second
	HeaderTimeout  = 2 * time.Second
	IdleTimeout    = 2 * time.Minute
	DefaultLimit   = 20
	MaxLimit       = 1000
	LostServices   = 8

	// Routes have limits of their own; these hold while none are known.
	RouteHeaderBytes   = 256 << 10
	RouteHeaderTimeout = 10 * time.Second

	TimeoutMargin   = 20 * time.Millisecond
	ReturnMargin    = 10 * time.Millisecond
	ObjectiveMargin = 22 * time.Millisecond
	RouteRetryAfter = 100 * time.Millisecond

	StoreRetryAfter = time.Second

	QueueWait  = 2 * time.Millisecond // without a new connection, until the accept queue counts as empty
	QueueLimit = 100 * time.Millisecond

	FirstRequestWait = 500 * time.Millisecond // on a new connection, while the server stops
	DrainPoll        = 5 * time.Millisecond
)

// The headers of the callers' protocol.
const (
	HeaderRequest  = "Request-Id"
	HeaderDeadline = "Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
)
