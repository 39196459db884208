package planner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// registeredView returns the view of two services and the registrations.
func registeredView(o *observer.Observer, registrations ...modeler.Registration) *View {
	return NewView(modeler.Position{Revision: 1}, "d-0", nil, []modeler.Configuration{
		{Services: []modeler.Service{{Name: "portal"}, {Name: "board"}}},
		{Registrations: registrations},
	}, o)
}

// Guards against later attempts of a request that go to a searcher which has left since the request's view was built: each
// way of leaving must be known to the earlier view as well.
func TestEarlierViewKnowsWhoHasLeft(t *testing.T) {
	searcher := modeler.Searcher{Name: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "d-0", StartedAt: epoch}
	ready := modeler.Registration{Searcher: searcher, Service: "portal", Slots: 1}
	change := func(f func(r *modeler.Registration)) modeler.Registration {
		r := ready
		f(&r)
		return r
	}
	tests := []struct {
		name    string
		next    modeler.Registration
		maySend bool
	}{
		{"still registered", ready, true},
		{"leaves, but may be used for a while", change(func(r *modeler.Registration) { r.UsableUntil = epoch.Add(time.Second) }), true},
		{"has left", change(func(r *modeler.Registration) { r.UsableUntil = epoch }), false},
		{"started again", change(func(r *modeler.Registration) { r.Searcher.StartedAt = epoch.Add(1) }), false},
		{"replaced by another searcher", change(func(r *modeler.Registration) { r.Searcher.Name, r.Searcher.StartedAt = "i-2", epoch.Add(1) }), false},
		{"moved to another service", change(func(r *modeler.Registration) { r.Service = "board" }), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := observer.NewObserver()
			earlier := registeredView(o, ready)
			registeredView(o, tt.next)
			if got := earlier.Searchers[0].Health.MaySend(epoch); got != tt.maySend {
				t.Errorf("the earlier view may send to the searcher: %v, want %v", got, tt.maySend)
			}
		})
	}
}
