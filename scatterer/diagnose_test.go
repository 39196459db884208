package scatterer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// A request has lost all searchers of its service in a failure domain, so searchers of another service there are
// checked. If they are alive, the request is poisonous. If they are dead, that proves nothing, because the parts of
// the request on other VMs may have crashed them.
func TestLossesAreDiagnosedByOtherServicesIfNoneIsLeft(t *testing.T) {
	tests := []struct {
		name       string
		otherAlive []bool // by searcher of the other service
		want       gatherer.Verdict
	}{
		{"all searchers of the other service are alive", []bool{true, true, true}, gatherer.Poisonous},
		{"most searchers of the other service are alive", []bool{true, false, true}, gatherer.Poisonous},
		{"all searchers of the other service are dead", []bool{false, false, false}, gatherer.Undecided},
		{"most searchers of the other service are dead", []bool{false, true, false}, gatherer.Undecided},
		{"the other service has no searchers", nil, gatherer.Undecided},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own := modeler.Service{Name: "desk", Searchers: []modeler.Searcher{searcher(t, "desk-1", false), searcher(t, "desk-2", false)}}
			other := modeler.Service{Name: "ledger"}
			for i, alive := range tt.otherAlive {
				other.Searchers = append(other.Searchers, searcher(t, modeler.SearcherName("ledger-"+string(rune('1'+i))), alive))
			}
			c := modeler.Configuration{Services: []modeler.Service{own, other}}
			v := planner.NewView(modeler.Position{Revision: 1}, "north", nil, []modeler.Configuration{c}, observer.NewObserver())
			r := &run{
				req:              Request{View: v, Snapshot: &planner.Snapshot{Shards: []planner.Shard{{Service: 0}, {Service: 0}}}},
				reachedSearchers: map[int32]bool{0: true, 1: true},
			}
			d := dialer.NewDialer(netip.MustParseAddr("127.0.0.1"), dialer.WithWire(dialer.Wire{}))
			defer d.Close()
			s := NewScatterer(d, nil, nil, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if d := s.diagnose(ctx, v, []int32{0, 1}, r.newControls()); d.verdict != tt.want {
				t.Errorf("verdict %s, want %s; diagnosis %+v", d.verdict, tt.want, d)
			}
		})
	}
}

// searcher returns a searcher in the failure domain north. Its address refuses connections unless it is alive.
func searcher(t *testing.T, name modeler.SearcherName, alive bool) modeler.Searcher {
	t.Helper()
	l, err := net.Listen("tcp", "127.104.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if !alive {
		_ = l.Close()
	}
	t.Cleanup(func() { _ = l.Close() })
	return modeler.Searcher{Name: name, Address: l.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "north"}
}
