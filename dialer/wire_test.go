package dialer

import (
	"fmt"
	"testing"
)

func TestMergeHits(t *testing.T) {
	a := []Hit{{Document: "b", Score: 0.5}, {Document: "a", Score: 0.5}}
	b := []Hit{{Document: "c", Score: 0.9}, {Document: "a", Score: 0.7}}
	got := MergeHits(a, b, 3)
	if fmt.Sprint(got) != "[{c 0.9 } {a 0.7 } {b 0.5 }]" {
		t.Errorf("merged hits are %v, want c 0.9, a 0.7, b 0.5", got)
	}
}
