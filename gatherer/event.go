package gatherer

import (
	"strconv"
	"strings"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Fault says how an attempt ended without an answer.
type Fault uint8

// The faults of an attempt.
const (
	FaultNone        Fault = iota
	FaultNotSent           // the connection never opened
	FaultShed              // the searcher refused before it ran anything
	FaultDraining          // the searcher is leaving and ran nothing
	FaultNotHeld           // the searcher does not hold the snapshot
	FaultLost              // the connection ended after the request may have arrived
	FaultSilent            // no byte came back in time
	FaultCorrupt           // the answer's check value or shape is wrong
	FaultCrossed           // the answer belongs to another attempt
	FaultRejected          // the searcher answered an error
	FaultMisdirected       // another searcher has the address and ran nothing
)

var faultNames = [...]string{"none", "not-sent", "shed", "draining", "not-held", "lost", "silent", "corrupt", "crossed", "rejected", "misdirected"}

// String returns the kebab-case name of the fault.
func (f Fault) String() string { return faultNames[f] }

// FaultCounts counts attempts by the fault that ended them.
type FaultCounts [FaultMisdirected + 1]int

// String names the faults that occurred with their counts.
func (c FaultCounts) String() string {
	var parts []string
	for f, n := range c {
		if n > 0 {
			parts = append(parts, Fault(f).String()+" "+strconv.Itoa(n))
		}
	}
	return strings.Join(parts, ", ")
}

// ParseFault returns the fault with the name, or FaultNone.
func ParseFault(name string) Fault {
	for i, n := range faultNames {
		if n == name {
			return Fault(i)
		}
	}
	return FaultNone
}

// NotRun reports whether the fault proves that the attempt was not run.
func (f Fault) NotRun() bool {
	return f == FaultNotSent || f == FaultShed || f == FaultDraining || f == FaultNotHeld || f == FaultMisdirected
}

// Claim is what a sub-answer says of itself.
type Claim struct {
	Request   modeler.RequestID
	Attempt   int32
	Shard     modeler.ShardName
	Snapshot  modeler.SnapshotID
	Documents uint64
}

// Verdict says whether a request itself crashes searchers.
type Verdict uint8

// The verdicts on the losses of a request.
const (
	Undecided Verdict = iota
	Innocent
	Poisonous
)

var verdictNames = [...]string{"undecided", "innocent", "poisonous"}

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// EventKind tells the events of a query apart.
type EventKind uint8

// The events that a query handles.
const (
	EventStart EventKind = iota
	EventAnswer
	EventFault
	EventTick
	EventVerdict
	EventGone
)

// Event is one thing that happened to a query.
type Event struct {
	Kind    EventKind
	Attempt int32
	Fault   Fault
	Claim   Claim
	Verdict Verdict
}

// Purpose says why an attempt is sent.
type Purpose uint8

// The purposes of an attempt.
const (
	Primary Purpose = iota
	Hedge
	Retry
	Probe
	LateHedge
)

var purposeNames = [...]string{"primary", "hedge", "retry", "probe", "late-hedge"}

// String returns the kebab-case name of the purpose.
func (p Purpose) String() string { return purposeNames[p] }

// ActionKind tells the actions of a query apart.
type ActionKind uint8

// The actions that a query asks for.
const (
	ActionSend ActionKind = iota
	ActionCancel
	ActionMerge
	ActionDrop
	ActionCheck
	ActionQuarantine
	ActionRestart
	ActionFinish
)

var actionNames = [...]string{"send", "cancel", "merge", "drop", "check", "quarantine", "restart", "finish"}

// String returns the kebab-case name of the action.
func (k ActionKind) String() string { return actionNames[k] }

// Action is one thing that the owner of a query has to do.
type Action struct {
	Kind     ActionKind
	Purpose  Purpose
	Attempt  int32
	Shard    int32
	Searcher int32
}
