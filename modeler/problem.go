package modeler

import (
	"fmt"
	"strings"
)

// Problem is one invalid value of a document: the JSON pointer to the value and what is wrong with it.
type Problem struct {
	Pointer string
	Reason  string
}

// Problems holds the problems that a check finds.
type Problems []Problem

// Add adds a problem at the JSON pointer that the elements of path form.
func (p *Problems) Add(reason string, path ...any) {
	var b strings.Builder
	for _, e := range path {
		fmt.Fprintf(&b, "/%v", e)
	}
	*p = append(*p, Problem{Pointer: b.String(), Reason: reason})
}

// CheckName adds a problem unless s is a valid name by ParseName.
func (p *Problems) CheckName(s string, path ...any) {
	if err := ParseName(s); err != nil {
		p.Add(err.Error(), path...)
	}
}
