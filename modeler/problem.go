package modeler

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document, at a JSON pointer.
type Problem struct {
	Pointer string
	Reason  string
}

// Problems collects the faults that a check finds.
type Problems []Problem

// Add records a fault at the pointer that the path's elements form.
func (p *Problems) Add(reason string, path ...any) {
	var b strings.Builder
	for _, e := range path {
		fmt.Fprintf(&b, "/%v", e)
	}
	*p = append(*p, Problem{Pointer: b.String(), Reason: reason})
}

// Name records a fault unless s is a well-formed name.
func (p *Problems) Name(s string, path ...any) {
	if err := ParseName(s); err != nil {
		p.Add(err.Error(), path...)
	}
}
