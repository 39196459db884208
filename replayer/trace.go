package replayer

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// Outcome is the result of a replay. A trace holds the expected one.
type Outcome struct {
	Answered       int  `json:"answered"`        // shards with an answer
	Missing        int  `json:"missing"`         // shards without an answer
	Sent           int  `json:"sent"`            // attempts sent
	Dropped        int  `json:"dropped"`         // answers dropped
	Quarantined    bool `json:"quarantined"`     // whether the query asked to quarantine its request
	SecondReplicas int  `json:"second-replicas"` // shards whose attempts went to more than one searcher
}

// line is one line of a trace: an event or the expected outcome.
type line struct {
	recorder.Event
	Expect *Outcome `json:"expect,omitempty"`
}

// Check returns the problems of the line.
func (l *line) Check() modeler.Problems {
	var p modeler.Problems
	if l.Expect == nil && l.Kind == "" {
		p.Add("is missing", "kind")
	}
	return p
}

// Trace is the recorded time line of one query with its expected outcome. Pinned is the event that holds the plan.
type Trace struct {
	Pinned   recorder.Event
	Events   []recorder.Event
	Expected Outcome
}

// Parse reads a trace: one JSON event per line, and a line with the expected outcome.
func Parse(file string, b []byte) (Trace, error) {
	var t Trace
	hasOutcome := false
	for i, text := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		l, err := parser.DecodeStrict[line](text)
		if err != nil {
			return t, errors.Errorf("%s:%d:1: %v", file, i+1, err)
		}
		switch {
		case l.Expect != nil:
			t.Expected, hasOutcome = *l.Expect, true
		case l.Kind == recorder.QueryPinned && l.Plan != nil:
			t.Pinned = l.Event
		default:
			t.Events = append(t.Events, l.Event)
		}
	}
	if t.Pinned.Plan == nil {
		return t, errors.Errorf("%s:1:1: trace has no %s event with a plan", file, recorder.QueryPinned)
	}
	if !hasOutcome {
		return t, errors.Errorf("%s:1:1: trace has no line with the expected outcome", file)
	}
	return t, nil
}
