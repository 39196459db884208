package soaker

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// searcherWithRuns returns a searcher that has run the same request n times. httptest.NewRequest sets 192.0.2.1 as the
// sender's address.
func searcherWithRuns(t *testing.T, service, path, id string, n int) *replica {
	x := &replica{Searcher: imitator.NewSearcher(nil, service+"-1", service)}
	t.Cleanup(x.Close)
	for range n {
		r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
		imitator.SetHeaders(r, id, service+"-1")
		x.ServeHTTP(httptest.NewRecorder(), r)
	}
	return x
}

// Each check must record exactly the violations that its case causes; a check that never fails proves nothing.
func TestChecksReportViolations(t *testing.T) {
	start := time.Now()
	stamp := imitator.Stamp("portal", "portal-1", "a")
	tests := []struct {
		name       string
		act        func(d *deployment)
		violations int
	}{
		{"order ran once", func(d *deployment) { d.retired = []*replica{searcherWithRuns(t, "portal", "/book/a", "a", 1)} }, 0},
		// One violation for each of the two requests that the searcher received.
		{"order ran twice", func(d *deployment) { d.retired = []*replica{searcherWithRuns(t, "portal", "/book/a", "a", 2)} }, 2},
		{"refused request ran", func(d *deployment) {
			d.history.refused = map[string]bool{"a": true}
			d.retired = []*replica{searcherWithRuns(t, "board", "/lookup/a", "a", 1)}
		}, 1},
		{"request ran and broke at a planned stop", func(d *deployment) {
			d.history.brokenAtStop = map[string]string{"a": "EOF"}
			d.retired = []*replica{searcherWithRuns(t, "board", "/lookup/a", "a", 1)}
		}, 1},
		{"request sent to a searcher that left", func(d *deployment) {
			x := searcherWithRuns(t, "board", "/lookup/a", "a", 1)
			x.leftAt = start.Add(-time.Minute)
			d.vms = []*vm{{addr: netip.MustParseAddr("192.0.2.1")}}
			d.retired = []*replica{x}
		}, 1},
		{"requests to a searcher that asked for none", func(d *deployment) {
			x := searcherWithRuns(t, "board", "/lookup/a", "a", 0)
			d.vms = []*vm{{addr: netip.MustParseAddr("192.0.2.1")}}
			override := d.refuseFor(x, refuseTime)
			for n := range 4 {
				override(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/lookup/a", http.NoBody))
				if n == 0 {
					time.Sleep(refuseTime / 2)
				}
			}
		}, 1},
		{"answer to the request", func(d *deployment) {
			d.checkAnswer(&vm{}, "a", "/book/a", &imitator.Answer{Status: 200, Stamps: []string{stamp}, Body: string(imitator.ShardAnswer(stamp))}, start, 0, true)
		}, 0},
		{"answer to another request", func(d *deployment) {
			d.checkAnswer(&vm{}, "b", "/book/b", &imitator.Answer{Status: 200, Stamps: []string{stamp}, Body: string(imitator.ShardAnswer(stamp))}, start, 0, true)
		}, 1},
		{"truncated answer", func(d *deployment) {
			d.checkAnswer(&vm{}, "a", "/book/a", &imitator.Answer{Status: 200, Stamps: []string{stamp}, Body: "0123"}, start, 0, true)
		}, 1},
		{"parts of two index versions", func(d *deployment) {
			a := &imitator.Answer{Status: 200, Stamps: []string{imitator.Stamp("old-1", "x", "a"), imitator.Stamp("new-1", "y", "a")}, Missing: 1}
			d.checkAnswer(&vm{}, "a", "/sweep/a", a, start, 0, true)
		}, 1},
		{"answer long after the deadline", func(d *deployment) {
			d.checkAnswer(&vm{}, "a", "/book/a", &imitator.Answer{Status: 502}, start, 3*time.Second, true)
		}, 1},
		{"lookup at a service that no configuration names", func(d *deployment) {
			d.history.recordLookup(start.Add(-time.Hour), "board")
			d.history.recordLookup(start.Add(-time.Minute), "board")
			d.checkAnswer(&vm{}, "a", "/lookup/a", &imitator.Answer{Status: 200, Stamps: []string{stamp}, Body: string(imitator.ShardAnswer(stamp))}, start, 0, true)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &deployment{t: t, history: &history{}, replicas: map[string]*replica{}}
			tt.act(d)
			d.checkRuns()
			if n := len(d.history.violations); n != tt.violations {
				t.Errorf("the checks recorded the wrong number of violations, %d: %v", n, d.history.violations)
			}
		})
	}
}
