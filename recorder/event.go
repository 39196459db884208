package recorder

import (
	"github.com/pistachiogap/pistachiogap/modeler"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	ProcessStarted        EventKind = "process-started"
	ProcessDraining       EventKind = "process-draining"
	ProcessStopped        EventKind = "process-stopped"
	ProcessResumed        EventKind = "process-woke"
	QueryAccepted         EventKind = "query-accepted"
	QueryPinned           EventKind = "query-pinned"
	QueryRestarted        EventKind = "query-restarted"
	QueryAnswered         EventKind = "query-answered"
	QueryRefused          EventKind = "query-refused"
	AttemptSent           EventKind = "attempt-sent"
	AttemptAnswered       EventKind = "attempt-answered"
	AttemptFailed         EventKind = "attempt-failed"
	AttemptCancelled      EventKind = "attempt-cancelled"
	AnswerDropped         EventKind = "answer-dropped"
	RequestQuarantined    EventKind = "request-quarantined"
	SearcherDraining      EventKind = "searcher-draining"
	ConnectionRetired     EventKind = "connection-retired"
	ConfigurationAccepted EventKind = "configuration-accepted"
	ConfigurationRefused  EventKind = "configuration-refused"
	MemberAlive           EventKind = "member-alive"
	MemberSuspect         EventKind = "member-suspect"
	MemberDead            EventKind = "member-dead"
	MemberLeft            EventKind = "member-left"
	TicketIssued          EventKind = "ticket-issued"
	OrderForwarded        EventKind = "order-forwarded"
	OrderSent             EventKind = "order-sent"
	OrderDone             EventKind = "order-done"
	OrderUnknown          EventKind = "order-unknown"
	TicketsHandedOver     EventKind = "tickets-handed-over"
)

// EventKinds returns all event kinds.
func EventKinds() []EventKind {
	return []EventKind{
		ProcessStarted, ProcessDraining, ProcessStopped, ProcessResumed,
		QueryAccepted, QueryPinned, QueryRestarted, QueryAnswered, QueryRefused,
		AttemptSent, AttemptAnswered, AttemptFailed, AttemptCancelled, AnswerDropped,
		RequestQuarantined, SearcherDraining, ConnectionRetired,
		ConfigurationAccepted, ConfigurationRefused,
		MemberAlive, MemberSuspect, MemberDead, MemberLeft,
		TicketIssued, OrderForwarded, OrderSent, OrderDone, OrderUnknown, TicketsHandedOver,
	}
}

// Event is one thing that happened in one process.
type Event struct {
	At       Stamp                `json:"at"`
	VM       modeler.VMName       `json:"vm"`
	Kind     EventKind            `json:"kind"`
	Request  modeler.RequestID    `json:"request,omitempty"`
	Attempt  int32                `json:"attempt,omitempty"`
	Shard    modeler.ShardName    `json:"shard,omitempty"`
	Searcher modeler.SearcherName `json:"searcher,omitempty"`
	Purpose  string               `json:"purpose,omitempty"`
	Fault    string               `json:"fault,omitempty"`
	Detail   string               `json:"detail,omitempty"`
	Plan     *PlanNote            `json:"plan,omitempty"`
}

// PlanNote is the plan of a query as recorded for a replay.
type PlanNote struct {
	Index         modeler.IndexName  `json:"index"`
	Snapshot      modeler.SnapshotID `json:"snapshot"`
	Deadline      modeler.Duration   `json:"deadline"`
	Patience      modeler.Duration   `json:"patience"`
	LeastCoverage float64            `json:"least-coverage"`
	KnownGood     bool               `json:"known-good,omitempty"`
	Shards        []ShardNote        `json:"shards"`
}

// ShardNote is one shard of a planned query, and the delay after which its attempt is hedged.
type ShardNote struct {
	Name      modeler.ShardName `json:"name"`
	Documents uint64            `json:"documents"`
	Hedge     modeler.Duration  `json:"hedge"`
}
