package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Guards against a caller who is not told when a withheld request may be sent again, against a sound request that is
// refused for the whole quarantine, and against trials that crash more than one searcher: one request is let through, to one
// searcher.
func TestQuarantinedRequestHasOneTrial(t *testing.T) {
	var runs []int
	h := routeHandler(func(_ context.Context, req scatterer.Request) scatterer.Result {
		runs = append(runs, req.Forward.MaxRuns)
		return scatterer.Result{}
	})
	h.Quarantine.Find(observer.FingerprintOfMessage("r", http.MethodGet, "/x", nil), time.Now().Add(-observer.TrialDelay))
	for n := range 3 {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, routeRequestTo("/x"))
		if n > 0 && w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d after the trial, want 503", w.Code)
		}
		if after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); n > 0 && (after < 500 || after > 600) {
			t.Errorf("Retry-After is %q, want the rest of the quarantine", w.Header().Get("Retry-After"))
		}
	}
	if len(runs) != 1 || runs[0] != 1 {
		t.Errorf("runs with at most %v searchers each, want one run with one searcher", runs)
	}
}
