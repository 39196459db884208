package scatterer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// A query picked a searcher, another VM reported that the searcher drains, and then the attempt began. Its answer, which
// does not mention the drain, must not put the searcher back in service.
func TestAnswerOfAnEarlierPickKeepsDraining(t *testing.T) {
	c := modeler.Configuration{Services: []modeler.Service{{Name: "desk", Searchers: []modeler.Searcher{{
		Name: "desk-1", Address: netip.MustParseAddrPort("10.0.0.1:7000"), FailureDomain: "north",
	}}}}}
	v := planner.NewView(modeler.Position{Revision: 1}, "north", nil, []modeler.Configuration{c}, observer.NewObserver())
	r := &run{s: NewScatterer(nil, nil, nil, nil), req: Request{View: v}}
	health := v.Searchers[0].Health
	health.MarkDraining(time.Now().Add(-time.Second))
	health.Begin(time.Now())
	r.updateHealth(t.Context(), gatherer.Action{}, &attemptResult{reply: dialer.Reply{}, event: gatherer.Event{Kind: gatherer.EventAnswer}}, time.Millisecond)
	if !health.Draining(time.Now()) {
		t.Error("an answer put a draining searcher back in service")
	}
}
