package observer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against states that are lost when two entries name one address: each view that is built joins both.
func TestSearchersAtOneAddressKeepTheirStates(t *testing.T) {
	o := NewObserver()
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	desk, board := o.Service("desk"), o.Service("board")
	join := func() (a, b *Searcher) {
		return o.Join(addr, "a", backoffStart, desk), o.Join(addr, "b", backoffStart, board)
	}
	a, b := join()
	a.MarkLeaving(backoffStart)
	b.BackOff(backoffStart, time.Minute)
	if a2, b2 := join(); a2 != a || b2 != b {
		t.Fatal("building the next view discards what is known of the searchers")
	}
	if a.MaySend(backoffStart) || b.MaySend(backoffStart) {
		t.Error("the searcher that leaves, or the one that asked for no requests, may be sent some")
	}
	Keep(o, func(_ netip.AddrPort, name modeler.SearcherName) bool { return name == "b" }, map[modeler.ServiceName]bool{"desk": true, "board": true})
	later := backoffStart.Add(time.Hour)
	if states := o.At(addr); len(states) != 1 || states[0] != b || !b.MaySend(later) {
		t.Error("the searcher that is still registered must be kept, the other one dropped")
	}
	if a.MaySend(later) {
		t.Error("a searcher whose address another one has may be sent requests")
	}
}

// Guards against requests that were assigned to a searcher before it left a service that the configuration has dropped.
func TestSearcherOfADroppedServiceStillLeaves(t *testing.T) {
	o := NewObserver()
	r := modeler.Registration{Service: "desk", Searcher: modeler.Searcher{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
	s := o.Join(r.Searcher.Address, "a", r.Searcher.StartedAt, o.Service("desk"))
	Keep(o, func(netip.AddrPort, modeler.SearcherName) bool { return true }, map[modeler.ServiceName]bool{})
	o.Register(r)
	if !s.MaySend(backoffStart) {
		t.Error("a searcher that is still registered may not be sent requests")
	}
	r.UsableUntil = backoffStart
	o.Register(r)
	if s.MaySend(backoffStart) {
		t.Error("a searcher that has left may be sent requests")
	}
}

// Guards against a searcher that gets no requests because one that had its address before has left.
func TestNewsOfAnAddressDoesNotConcernALaterSearcher(t *testing.T) {
	o := NewObserver()
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	o.Join(addr, "b", backoffStart, o.Service("desk"))
	if n := len(o.AtBefore(addr, backoffStart.Add(-time.Second))); n != 0 {
		t.Errorf("%d searchers, want none of before the start", n)
	}
	if n := len(o.AtBefore(addr, backoffStart.Add(time.Second))); n != 1 {
		t.Errorf("%d searchers, want the one that had started by then", n)
	}
	other := netip.MustParseAddrPort("10.0.0.2:80")
	o.Join(other, "c", time.Time{}, o.Service("desk"))
	if n := len(o.AtBefore(other, backoffStart)); n != 1 {
		t.Errorf("%d searchers, want the one whose start is unknown", n)
	}
}
