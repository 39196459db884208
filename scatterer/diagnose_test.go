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

// A request that lost the only searcher of its service in each failure domain is judged by searchers of other services there: that they live says something, that they are dead does not, for another part of the request may have crashed them.
func TestLossesAreJudgedByOtherServicesWhereNoneIsLeft(t *testing.T) {
	tests := []struct {
		name   string
		others []bool // whether the searchers of the other service live
		want   gatherer.Verdict
	}{
		{"the others live", []bool{true, true, true}, gatherer.Poisonous},
		{"most of the others live", []bool{true, false, true}, gatherer.Poisonous},
		{"the others are dead", []bool{false, false, false}, gatherer.Undecided},
		{"most of the others are dead", []bool{false, true, false}, gatherer.Undecided},
		{"there are none", nil, gatherer.Undecided},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			asked := modeler.Service{Name: "desk", Searchers: []modeler.Searcher{searcher(t, "desk-1", false), searcher(t, "desk-2", false)}}
			other := modeler.Service{Name: "ledger"}
			for i, lives := range tt.others {
				other.Searchers = append(other.Searchers, searcher(t, modeler.SearcherName("ledger-"+string(rune('1'+i))), lives))
			}
			c := modeler.Configuration{Services: []modeler.Service{asked, other}}
			v := planner.NewView(1, "north", nil, []modeler.Configuration{c}, observer.NewObserver())
			r := &run{
				req:     Request{View: v, Snapshot: &planner.Snapshot{Shards: []planner.Shard{{Service: 0}, {Service: 0}}}},
				reached: map[int32]bool{0: true, 1: true},
			}
			d := dialer.NewDialer(netip.MustParseAddr("127.0.0.1"), dialer.WithWire(dialer.Wire{}))
			defer d.Close()
			s := NewScatterer(d, nil, nil, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if j := s.diagnose(ctx, v, []int32{0, 1}, r.controls()); j.verdict != tt.want {
				t.Errorf("verdict %s, not %s: %+v", j.verdict, tt.want, j)
			}
		})
	}
}

// searcher returns a searcher in the failure domain north; one that does not live refuses connections.
func searcher(t *testing.T, name modeler.SearcherName, lives bool) modeler.Searcher {
	t.Helper()
	l, err := net.Listen("tcp", "127.104.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if !lives {
		_ = l.Close()
	}
	t.Cleanup(func() { _ = l.Close() })
	return modeler.Searcher{Name: name, Address: l.Addr().(*net.TCPAddr).AddrPort(), FailureDomain: "north"}
}
