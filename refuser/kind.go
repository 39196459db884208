package refuser

import "time"

// Kind is an error kind from the closed list below.
type Kind string

// The error kinds.
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
	NoSearcher       Kind = "no-searcher"       // no searcher could take the request
	Unregistered     Kind = "unregistered"      // on a route: too few searchers are registered
	Quarantined      Kind = "quarantined"       // a search that crashed searchers before
	CrashedSearchers Kind = "crashed-searchers" // a search that crashed searchers now
	UnknownRoute     Kind = "unknown-route"
	HeaderTooLarge   Kind = "header-too-large"
	Withheld         Kind = "withheld"  // on a route: a request that crashed searchers before
	Unserved         Kind = "unserved"  // on a route: no answer, or the request crashed searchers
	NoAnswer         Kind = "no-answer" // a search without an answer in time
	CallerGone       Kind = "caller-gone"
	UnsupportedKey   Kind = "unsupported-idempotency-key"
	BadTicket        Kind = "bad-ticket"
	TicketExpired    Kind = "ticket-expired"
	TicketMismatch   Kind = "ticket-mismatch"
	OrderRefused     Kind = "order-refused"
	OutcomeUnknown   Kind = "outcome-unknown"
	Internal         Kind = "internal"
)

// Tristate is a truth value that may be unknown.
type Tristate string

// The values of Tristate.
const (
	Yes     Tristate = "true"
	No      Tristate = "false"
	Unknown Tristate = "unknown"
)

// Harm is the category of support tickets that a refusal belongs to.
type Harm string

// The categories are those of the search system that preceded this tier. HarmNone marks faults of the caller's request.
const (
	HarmNone           Harm = "none"
	HarmLateAnswer     Harm = "late-answer"
	HarmLostAnswer     Harm = "lost-answer"
	HarmDoubledRequest Harm = "doubled-request"
	HarmHalfAnswer     Harm = "half-answer"
)

// Row is what the tier answers for one error kind.
type Row struct {
	Kind       Kind
	Status     int      // HTTP status
	NotRun     Tristate // Yes if the request was provably not run, No if it was run, Unknown if it may have been
	MayRetry   bool
	RetryAfter time.Duration // 0 if the answer names no time
	Harm       Harm
}
