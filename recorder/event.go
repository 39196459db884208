package recorder

import (
	"github.com/pistachiogap/pistachiogap/modeler"
)

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events. The member kinds are the gossip states of the VM that Detail names.
const (
	ProcessStarted        EventKind = "process-started"
	ProcessDraining       EventKind = "process-draining"
	ProcessStopped        EventKind = "process-stopped"
	ProcessResumed        EventKind = "process-woke" // the process ran again after a pause; Detail is the pause's length
	QueryAccepted         EventKind = "query-accepted"
	QueryPinned           EventKind = "query-pinned"    // the query has its snapshot; Plan holds its plan
	QueryRestarted        EventKind = "query-restarted" // the query runs again on the snapshot in Detail; a searcher lacked the first
	QueryAnswered         EventKind = "query-answered"
	QueryRefused          EventKind = "query-refused"
	AttemptSent           EventKind = "attempt-sent"
	AttemptAnswered       EventKind = "attempt-answered" // the answer was merged into the result
	AttemptFailed         EventKind = "attempt-failed"
	AttemptCancelled      EventKind = "attempt-cancelled"   // its answer is no longer needed
	AnswerDropped         EventKind = "answer-dropped"      // an answer was discarded: it came too late or did not match its attempt
	RequestQuarantined    EventKind = "request-quarantined" // here, with Request, or by another VM, without Request
	SearcherDraining      EventKind = "searcher-draining"
	ConnectionRetired     EventKind = "connection-retired" // a silent connection to a searcher was closed
	ConfigurationAccepted EventKind = "configuration-accepted"
	ConfigurationRefused  EventKind = "configuration-refused"
	MemberAlive           EventKind = "member-alive"
	MemberSuspect         EventKind = "member-suspect"
	MemberDead            EventKind = "member-dead"
	MemberLeft            EventKind = "member-left"
	TicketIssued          EventKind = "ticket-issued"
	OrderForwarded        EventKind = "order-forwarded"     // to the VM that is responsible for the ticket
	OrderSent             EventKind = "order-sent"          // to a searcher
	OrderDone             EventKind = "order-done"          // a searcher's answer to the order was accepted
	OrderUnknown          EventKind = "order-unknown"       // it is not known whether the order ran
	TicketsHandedOver     EventKind = "tickets-handed-over" // a draining VM gave its tickets to the VM in Detail
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

// Event is one thing that happened in one process. Which of the fields after Kind are set depends on Kind.
type Event struct {
	At       Stamp                `json:"at"`
	VM       modeler.VMName       `json:"vm"`
	Kind     EventKind            `json:"kind"`
	Request  modeler.RequestID    `json:"request,omitempty"`
	Attempt  int32                `json:"attempt,omitempty"` // number of the attempt within its query or order, from 0
	Shard    modeler.ShardName    `json:"shard,omitempty"`
	Searcher modeler.SearcherName `json:"searcher,omitempty"`
	Purpose  string               `json:"purpose,omitempty"` // why the attempt was sent: the text of a gatherer.Purpose
	Fault    string               `json:"fault,omitempty"`   // why the attempt failed: the text of a gatherer.Fault
	Detail   string               `json:"detail,omitempty"`
	Plan     *PlanNote            `json:"plan,omitempty"` // set only in QueryPinned
}

// PlanNote is the plan of a query as recorded for a replay. Deadline and Patience count from the recording of the plan.
// From Patience on, the query ends as soon as it has LeastCoverage. KnownGood means that the same request was answered
// lately, so it does not crash searchers.
type PlanNote struct {
	Index         modeler.IndexName  `json:"index"`
	Snapshot      modeler.SnapshotID `json:"snapshot"`
	Deadline      modeler.Duration   `json:"deadline"`
	Patience      modeler.Duration   `json:"patience"`
	LeastCoverage float64            `json:"least-coverage"` // from 0 to 1
	KnownGood     bool               `json:"known-good,omitempty"`
	Shards        []ShardNote        `json:"shards"`
}

// ShardNote is one shard of a planned query, and the delay after which its attempt is hedged.
type ShardNote struct {
	Name      modeler.ShardName `json:"name"`
	Documents uint64            `json:"documents"`
	Hedge     modeler.Duration  `json:"hedge"`
}
