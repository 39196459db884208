package modeler

import "testing"

func TestPositionsAreOrderedByEpochThenRevision(t *testing.T) {
	ordered := []Position{{}, {Revision: 1}, {Revision: 374}, {Epoch: 1, Revision: 2}, {Epoch: 1, Revision: 3}, {Epoch: 2}}
	for i, p := range ordered {
		for k, q := range ordered {
			if got := p.After(q); got != (i > k) {
				t.Errorf("%v after %v: %v", p, q, got)
			}
		}
	}
}
