package gatherer

import (
	"strconv"
	"strings"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Fault is the reason why an attempt brought no usable answer.
type Fault uint8

// The faults of an attempt.
const (
	FaultNone        Fault = iota
	FaultNotSent           // no connection could be opened, or none was usable in time; the request was not run
	FaultShed              // the searcher refused the request because of its load, before running any of it
	FaultDraining          // the searcher is draining and did not run the request
	FaultNotHeld           // the searcher does not hold the snapshot and did not run the request
	FaultLost              // the connection ended after the request may have reached the searcher
	FaultSilent            // no byte of an answer arrived in time
	FaultCorrupt           // the answer cannot be used: wrong check value, encoding or form, no stamp, or a panic
	FaultCrossed           // the answer belongs to another attempt
	FaultRejected          // the searcher answered with an error
	FaultMisdirected       // another searcher has taken over the address and did not run the request
)

var faultNames = [...]string{"none", "not-sent", "shed", "draining", "not-held", "lost", "silent", "corrupt", "crossed", "rejected", "misdirected"}

// String returns the kebab-case name of the fault.
func (f Fault) String() string { return faultNames[f] }

// FaultCounts counts attempts by the fault that ended them.
type FaultCounts [FaultMisdirected + 1]int

// String lists the faults that occurred, each with its count, such as "shed 2, lost 1".
func (c FaultCounts) String() string {
	var parts []string
	for f, n := range c {
		if n > 0 {
			parts = append(parts, Fault(f).String()+" "+strconv.Itoa(n))
		}
	}
	return strings.Join(parts, ", ")
}

// ParseFault returns the fault with the name, or FaultNone if no fault has it.
func ParseFault(name string) Fault {
	for i, n := range faultNames {
		if n == name {
			return Fault(i)
		}
	}
	return FaultNone
}

// NotRun reports whether the fault proves that the searcher did not run the attempt.
func (f Fault) NotRun() bool {
	return f == FaultNotSent || f == FaultShed || f == FaultDraining || f == FaultNotHeld || f == FaultMisdirected
}

// Claim is what a sub-answer states about itself: which attempt it answers and which data was searched. The query
// compares it with what the attempt asked for.
type Claim struct {
	Request   modeler.RequestID
	Attempt   int32
	Shard     modeler.ShardName
	Snapshot  modeler.SnapshotID
	Documents uint64
}

// Verdict is the judgement whether the lost connections of a request come from the request crashing searchers.
type Verdict uint8

// The verdicts on the losses of a request.
const (
	Undecided Verdict = iota
	Innocent          // the searchers failed for another reason
	Poisonous         // the request crashes the searchers that run it
)

var verdictNames = [...]string{"undecided", "innocent", "poisonous"}

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// EventKind is the kind of an Event.
type EventKind uint8

// The events that a query handles.
const (
	EventStart       EventKind = iota
	EventAnswer                // Attempt was answered with Claim
	EventFault                 // Attempt ended with Fault
	EventTick                  // time has passed, at the latest when NextTick is reached
	EventVerdict               // Verdict answers an ActionCheck
	EventContextDone           // the caller has gone or its deadline has passed
)

// Event is an input of the state machine. Which fields are set depends on Kind.
type Event struct {
	Kind    EventKind
	Attempt int32
	Fault   Fault
	Claim   Claim
	Verdict Verdict
}

// Purpose is the reason why an attempt is sent.
type Purpose uint8

// The purposes of an attempt.
const (
	Primary   Purpose = iota // the first attempt of a shard
	Hedge                    // to another replica after one hedge delay without an answer
	Retry                    // to another replica after a fault
	Probe                    // on a new connection: before any answer, after a hedge or two denied ones, or after Innocent
	LateHedge                // a hedge after one that the Spend hook denied or that found no searcher
)

var purposeNames = [...]string{"primary", "hedge", "retry", "probe", "late-hedge"}

// String returns the kebab-case name of the purpose.
func (p Purpose) String() string { return purposeNames[p] }

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions that a query asks for.
const (
	ActionSend       ActionKind = iota // send the attempt
	ActionCancel                       // cancel the attempt, whose answer is no longer needed
	ActionMerge                        // merge the answer of the attempt into the result
	ActionDrop                         // discard the answer of the attempt
	ActionCheck                        // find out whether the request crashes searchers; EventVerdict brings the result
	ActionQuarantine                   // quarantine the request
	// ActionRestart restarts nothing. It reports that the query ends incomplete and that a searcher does not hold the
	// snapshot; another snapshot may serve.
	ActionRestart
	ActionFinish // the query has ended
)

var actionNames = [...]string{"send", "cancel", "merge", "drop", "check", "quarantine", "restart", "finish"}

// String returns the kebab-case name of the action.
func (k ActionKind) String() string { return actionNames[k] }

// Action is an output of the state machine, which the owner of the query carries out.
type Action struct {
	Kind     ActionKind
	Purpose  Purpose
	Attempt  int32
	Shard    int32
	Searcher int32
}
