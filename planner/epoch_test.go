package planner

import (
	"testing"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Guards against requests known to be good on other contents, because a later epoch has given their revision out again.
func TestRouteSnapshotsOfTwoEpochsDiffer(t *testing.T) {
	id := func(p modeler.Position) modeler.SnapshotID {
		c := modeler.Configuration{
			Services: []modeler.Service{{Name: "desk"}},
			Routes:   []modeler.Route{{Name: "r", Host: "h", Prefix: "/", Split: []modeler.Weighted{{Service: "desk", Weight: 1}}}},
		}
		r, ok := NewView(p, "d", nil, []modeler.Configuration{c}, observer.NewObserver()).Match("h", "/x")
		if !ok {
			t.Fatal("no route")
		}
		return r.Choose(0).ID
	}
	earlier, later := id(modeler.Position{Epoch: 1, Revision: 374}), id(modeler.Position{Epoch: 2, Revision: 374})
	if later <= earlier || id(modeler.Position{Revision: 374}) != 374 {
		t.Errorf("ids %d and %d of revision 374 in epochs 1 and 2, want the later greater, and 374 in epoch 0", earlier, later)
	}
}
