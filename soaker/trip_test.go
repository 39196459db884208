package soaker

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// worked is a searcher that worked on a request from an address at a time.
func worked(t *testing.T, service, path, id string, times int) *replica {
	x := &replica{Searcher: imitator.NewSearcher(nil, service+"-1", service)}
	t.Cleanup(x.Close)
	for range times {
		r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
		imitator.Address(r, id, service+"-1")
		x.ServeHTTP(httptest.NewRecorder(), r)
	}
	return x
}

func TestChecksTrip(t *testing.T) {
	start := time.Now()
	good := imitator.Stamp("portal", "portal-1", "a")
	tests := []struct {
		name string
		play func(w *world)
		want int
	}{
		{"booked once", func(w *world) { w.gone = []*replica{worked(t, "portal", "/book/a", "a", 1)} }, 0},
		{"booked twice", func(w *world) { w.gone = []*replica{worked(t, "portal", "/book/a", "a", 2)} }, 2},
		{"refused and ran", func(w *world) {
			w.history.refused = map[string]bool{"a": true}
			w.gone = []*replica{worked(t, "board", "/lookup/a", "a", 1)}
		}, 1},
		{"cut by a planned stop", func(w *world) {
			w.history.cut = map[string]string{"a": "EOF"}
			w.gone = []*replica{worked(t, "board", "/lookup/a", "a", 1)}
		}, 1},
		{"sent to a searcher that left", func(w *world) {
			x := worked(t, "board", "/lookup/a", "a", 1)
			x.leftAt = start.Add(-time.Minute)
			w.vms = []*vm{{addr: netip.MustParseAddr("192.0.2.1")}}
			w.gone = []*replica{x}
		}, 1},
		{"own answer", func(w *world) {
			w.judge(&vm{}, "a", "/book/a", &imitator.Answer{Status: 200, Stamps: []string{good}, Body: string(imitator.Part(good))}, start, 0, true)
		}, 0},
		{"another's answer", func(w *world) {
			w.judge(&vm{}, "b", "/book/b", &imitator.Answer{Status: 200, Stamps: []string{good}, Body: string(imitator.Part(good))}, start, 0, true)
		}, 1},
		{"cut answer", func(w *world) {
			w.judge(&vm{}, "a", "/book/a", &imitator.Answer{Status: 200, Stamps: []string{good}, Body: "0123"}, start, 0, true)
		}, 1},
		{"answer of two versions", func(w *world) {
			a := &imitator.Answer{Status: 200, Stamps: []string{imitator.Stamp("old-1", "x", "a"), imitator.Stamp("new-1", "y", "a")}, Missing: 1}
			w.judge(&vm{}, "a", "/sweep/a", a, start, 0, true)
		}, 1},
		{"late answer", func(w *world) {
			w.judge(&vm{}, "a", "/book/a", &imitator.Answer{Status: 502}, start, 3*time.Second, true)
		}, 1},
		{"old configuration", func(w *world) {
			w.history.published(start.Add(-time.Hour), "board")
			w.history.published(start.Add(-time.Minute), "board")
			w.judge(&vm{}, "a", "/lookup/a", &imitator.Answer{Status: 200, Stamps: []string{good}, Body: string(imitator.Part(good))}, start, 0, true)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{t: t, history: &history{}, replicas: map[string]*replica{}}
			tt.play(w)
			w.checkRuns()
			if n := len(w.history.violations); n != tt.want {
				t.Errorf("%d violations: %v", n, w.history.violations)
			}
		})
	}
}
