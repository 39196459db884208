package refuser

import "time"

// Kind is one of the closed list of error kinds.
type Kind string

// The closed list of error kinds.
const (
	MalformedRequest Kind = "malformed-request"
	BodyTooLarge     Kind = "body-too-large"
	BodyTimeout      Kind = "body-timeout"
	BadDeadline      Kind = "bad-deadline"
	BadHeader        Kind = "bad-header"
	UnknownPath      Kind = "unknown-path"
	UnknownIndex     Kind = "unknown-index"
	UnknownService   Kind = "unknown-service"
	MethodNotAllowed Kind = "method-not-allowed"
	Unauthorized     Kind = "unauthorized"
	Unconfigured     Kind = "unconfigured"
	Draining         Kind = "draining"
	Overloaded       Kind = "overloaded"
	NoSearcher       Kind = "no-searcher"
	Unregistered     Kind = "unregistered"
	Quarantined      Kind = "quarantined"
	CrashedSearchers Kind = "crashed-searchers"
	UnknownRoute     Kind = "unknown-route"
	HeaderTooLarge   Kind = "header-too-large"
	Withheld         Kind = "withheld"
	Unserved         Kind = "unserved"
	NoAnswer         Kind = "no-answer"
	CallerGone       Kind = "caller-gone"
	UnsupportedKey   Kind = "unsupported-idempotency-key"
	BadTicket        Kind = "bad-ticket"
	TicketExpired    Kind = "ticket-expired"
	TicketMismatch   Kind = "ticket-mismatch"
	OrderRefused     Kind = "order-refused"
	OutcomeUnknown   Kind = "outcome-unknown"
	Internal         Kind = "internal"
)

// Truth is true, false or unknown.
type Truth string

// The values of Truth.
const (
	Yes     Truth = "true"
	No      Truth = "false"
	Unknown Truth = "unknown"
)

// Harm is the ticket category that a refusal belongs to.
type Harm string

// The harms of the old search, and none for a fault of the caller's request.
const (
	None    Harm = "none"
	Late    Harm = "late-answer"
	Lost    Harm = "lost-answer"
	Doubled Harm = "doubled-request"
	Half    Harm = "half-answer"
)

// Row is what the tier answers for one kind.
type Row struct {
	Kind       Kind
	Status     int
	NotRun     Truth
	MayRetry   bool
	RetryAfter time.Duration
	Harm       Harm
}
