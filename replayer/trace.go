package replayer

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// Expectation is the stated outcome of a trace.
type Expectation struct {
	Answered       int  `json:"answered"`
	Missing        int  `json:"missing"`
	Sent           int  `json:"sent"`
	Dropped        int  `json:"dropped"`
	Quarantined    bool `json:"quarantined"`
	SecondReplicas int  `json:"second-replicas"`
}

// line is one line of a trace: an event, or the stated outcome.
type line struct {
	recorder.Event
	Expect *Expectation `json:"expect,omitempty"`
}

// Check returns the faults of the line.
func (l *line) Check() modeler.Problems {
	var p modeler.Problems
	if l.Expect == nil && l.Kind == "" {
		p.Add("is missing", "kind")
	}
	return p
}

// Trace is the recorded time line of one query with its stated outcome.
type Trace struct {
	Plan   recorder.Event
	Events []recorder.Event
	Expect Expectation
}

// Parse reads a trace: one JSON event a line, and a line with the stated outcome.
func Parse(file string, b []byte) (Trace, error) {
	var t Trace
	stated := false
	for i, text := range bytes.Split(bytes.TrimSpace(b), []byte("\n")) {
		l, err := parser.DecodeStrict[line](text)
		if err != nil {
			return t, errors.Errorf("%s:%d:1: %v", file, i+1, err)
		}
		switch {
		case l.Expect != nil:
			t.Expect, stated = *l.Expect, true
		case l.Kind == recorder.QueryPinned && l.Plan != nil:
			t.Plan = l.Event
		default:
			t.Events = append(t.Events, l.Event)
		}
	}
	if t.Plan.Plan == nil {
		return t, errors.Errorf("%s:1:1: the trace has no %s event with a plan", file, recorder.QueryPinned)
	}
	if !stated {
		return t, errors.Errorf("%s:1:1: the trace states no outcome", file)
	}
	return t, nil
}
