package orderer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// orderView returns a view of one service that takes orders, with searchers at the addresses.
func orderView(addresses ...netip.AddrPort) *planner.View {
	s := modeler.Service{Name: "desk", Orders: true, Contract: modeler.Contract{Slots: 1, Connections: 10}}
	for _, a := range addresses {
		s.Searchers = append(s.Searchers, modeler.Searcher{Name: modeler.SearcherName(a.String()), Address: a, FailureDomain: "a"})
	}
	return planner.NewView(modeler.Position{Revision: 1}, "a", nil, []modeler.Configuration{{Services: []modeler.Service{s}}}, observer.NewObserver())
}

func newTestOrderer(view func() *planner.View) *Orderer {
	r := recorder.NewRecorder("vm-1", recorder.NewClock(time.Now))
	return NewOrderer(ticketer.NewRegistry(1), ticketer.NewSigner([][]byte{[]byte("a-key-of-sixteen-bytes")}),
		dialer.NewDialer(netip.MustParseAddr("127.0.0.1")), r, view, nil, func(int) int { return 0 })
}

// startRefusing starts a searcher that refuses orders and asks for none, and counts them.
func startRefusing(t *testing.T, orders *int) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*orders++
		w.Header().Set(dialer.HeaderAttempt, r.Header.Get(dialer.HeaderAttempt))
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"kind": "shedding"}`))
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestSearcherThatAsksForNoRequestsGetsNoOrders(t *testing.T) {
	orders := 0
	view := orderView(startRefusing(t, &orders))
	o := newTestOrderer(func() *planner.View { return view })
	for range 3 {
		if out := o.run(context.Background(), Submission{Service: "desk", Deadline: time.Now().Add(time.Second)}); out.Kind != refuser.OrderRefused {
			t.Errorf("outcome is %+v, want the order refused", out)
		}
	}
	if orders != 1 {
		t.Errorf("the searcher got %d orders, want none after it had refused the first", orders)
	}
}

// The configuration changes while an order is sent. Searchers are numbered by view, so service and searchers must come
// from the same one.
func TestOrderUsesOneViewThroughout(t *testing.T) {
	orders := 0
	views := []*planner.View{orderView(startRefusing(t, &orders)), orderView()}
	o := newTestOrderer(func() *planner.View {
		v := views[0]
		views = append(views[1:], v)
		return v
	})
	o.run(context.Background(), Submission{Service: "desk", Deadline: time.Now().Add(time.Second)})
	if orders != 1 {
		t.Errorf("the searcher got %d orders, want 1", orders)
	}
}
