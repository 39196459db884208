package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// routeHandler returns a handler with one route, whose requests the function answers.
func routeHandler(gather func(context.Context, scatterer.Request) scatterer.Result) *RouteHandler {
	view := planner.NewView(modeler.Position{Revision: 1}, "seoul-a", nil, []modeler.Configuration{{
		Services: []modeler.Service{{Name: "portal"}},
		Routes:   []modeler.Route{{Name: "r", Host: "desk.example", Prefix: "/", Timeout: modeler.Duration{Duration: time.Second}, Split: []modeler.Weighted{{Service: "portal", Weight: 1}}}},
	}}, observer.NewObserver())
	return &RouteHandler{
		Dialect:             Dialect{ReadHeaders: func(http.Header) (RequestInfo, error) { return RequestInfo{ID: "x"}, nil }},
		View:                func() *planner.View { return view },
		Gather:              gather,
		GatheredAdmitter:    limiter.NewAdmitter(),
		SingleAdmitter:      limiter.NewAdmitter(),
		TakeStarvedAttempts: func() int { return 0 },
		Quarantine:          observer.NewQuarantine(),
		Draining:            func() bool { return false },
		Stop:                NewStop(),
		OnDone:              func(*RouteResult) {},
	}
}

// routeRequestTo returns a request on the route of routeHandler.
func routeRequestTo(target string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "http://desk.example"+target, http.NoBody)
	r.RequestURI = target
	return r
}

// A request that panics while it runs must still release its concurrency slot.
func TestPanickingRequestReleasesItsSlot(t *testing.T) {
	h := routeHandler(func(context.Context, scatterer.Request) scatterer.Result { panic("fault while gathering") })
	for range 3 {
		func() {
			defer func() { _ = recover() }()
			h.ServeHTTP(httptest.NewRecorder(), routeRequestTo("/x"))
		}()
	}
	if _, underway := h.SingleAdmitter.Limit(); underway != 0 {
		t.Errorf("%d concurrency slots are still taken after every request panicked, want 0", underway)
	}
}
