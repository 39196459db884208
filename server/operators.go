package server

import (
	"bytes"
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// Status is a VM's account of itself.
type Status struct {
	Name          modeler.VMName    `json:"name"`
	FailureDomain string            `json:"failure-domain"`
	Incarnation   uint64            `json:"incarnation"`
	Version       string            `json:"version"`
	Since         time.Time         `json:"since"`
	Draining      bool              `json:"draining"`
	Revision      modeler.Revision  `json:"revision"`
	Members       int               `json:"members"`
	Underway      int               `json:"requests-under-way"`
	Limit         float64           `json:"concurrency-limit"`
	Connections   int               `json:"connections"`
	Tickets       int               `json:"tickets"`
	PlatformCalls uint64            `json:"platform-calls"`
	Gossip        gossiper.Counters `json:"gossip"`
}

// UpstreamState is what a VM knows of one searcher.
type UpstreamState struct {
	Service  modeler.ServiceName  `json:"service"`
	Searcher modeler.SearcherName `json:"searcher"`
	Address  string               `json:"address"`
	observer.State
}

// QuarantineState is one quarantined request.
type QuarantineState struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

// TimelinePage is a part of a VM's ring of events.
type TimelinePage struct {
	VM     modeler.VMName   `json:"vm"`
	Next   uint64           `json:"next"`
	Events []recorder.Event `json:"events"`
}

// Check returns the faults of the page.
func (p *TimelinePage) Check() modeler.Problems {
	var out modeler.Problems
	out.Name(string(p.VM), "vm")
	return out
}

// Operators answers operators on one VM.
type Operators struct {
	Status        func() Status
	Healthy       func() bool
	Configuration func() configurer.State
	Members       func() []gossiper.Member
	Upstreams     func() []UpstreamState
	Quarantine    func() []QuarantineState
	Timeline      func(after uint64, request modeler.RequestID) TimelinePage
	Drain         func()
	Metrics       metrics.Registry
	Token         string
}

type nothing struct{}

func noInput(*http.Request) (nothing, error) { return nothing{}, nil }

// read makes a handler of something that operators may read.
func read[T any](f func() T) http.HandlerFunc {
	return Handle(noInput, func(context.Context, nothing) (T, error) { return f(), nil })
}

// NewOperators returns the handler of the operators' port.
func NewOperators(o *Operators) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/v1/health", o.health).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/status", read(o.Status)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/configuration", read(o.Configuration)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/members", read(o.Members)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/upstreams", read(o.Upstreams)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/quarantine", read(o.Quarantine)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/timeline", Handle(timelineInput, o.timeline)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/metrics", o.metrics).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/drain", Handle(o.authorized, o.drain)).Methods(http.MethodPost)
	refuseOthers(r)
	return limitBody(r)
}

func (o *Operators) health(w http.ResponseWriter, _ *http.Request) {
	if !o.Healthy() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

type timelineQuery struct {
	after   uint64
	request modeler.RequestID
}

func timelineInput(r *http.Request) (timelineQuery, error) {
	q := timelineQuery{request: modeler.RequestID(r.URL.Query().Get("request"))}
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return q, refuser.New(refuser.MalformedRequest, "after must be a number")
		}
		q.after = n
	}
	return q, nil
}

func (o *Operators) timeline(_ context.Context, q timelineQuery) (TimelinePage, error) {
	return o.Timeline(q.after, q.request), nil
}

// authorized lets only callers with the operators' token change anything.
func (o *Operators) authorized(r *http.Request) (nothing, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || o.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) != 1 {
		return nothing{}, refuser.New(refuser.Unauthorized, "an operators' token is needed to change anything")
	}
	return nothing{}, nil
}

func (o *Operators) drain(context.Context, nothing) (Status, error) {
	o.Drain()
	return o.Status(), nil
}

// metrics writes the registry as JSON, or in the text form that scrapers read.
func (o *Operators) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") != "text" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(o.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(exposition(o.Metrics))
}

func exposition(registry metrics.Registry) []byte {
	var lines []string
	add := func(name, suffix string, v float64) {
		lines = append(lines, fmt.Sprintf("pistachiogap_%s%s %g", strings.NewReplacer("-", "_", ".", "_").Replace(name), suffix, v))
	}
	registry.Each(func(name string, m any) {
		switch x := m.(type) {
		case metrics.Counter:
			add(name, "_total", float64(x.Count()))
		case metrics.Gauge:
			add(name, "", float64(x.Value()))
		case metrics.GaugeFloat64:
			add(name, "", x.Value())
		case metrics.Histogram:
			h := x.Snapshot()
			add(name, "_count", float64(h.Count()))
			add(name, "_sum", float64(h.Sum()))
			for _, q := range []float64{0.5, 0.99, 0.999} {
				add(name, fmt.Sprintf(`{quantile="%g"}`, q), h.Percentile(q))
			}
		}
	})
	sort.Strings(lines)
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(l)
		b.WriteByte('\n')
	}
	return b.Bytes()
}
