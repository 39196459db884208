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

// Status is what a VM reports about itself.
type Status struct {
	Name          modeler.VMName    `json:"name"`
	FailureDomain string            `json:"failure-domain"`
	Incarnation   uint64            `json:"incarnation"`
	Version       string            `json:"version"`
	StartedAt     time.Time         `json:"since"`
	Draining      bool              `json:"draining"`
	Epoch         modeler.Epoch     `json:"epoch"`
	Revision      modeler.Revision  `json:"revision"`
	Members       int               `json:"members"`
	Underway      int               `json:"requests-under-way"`
	Limit         float64           `json:"concurrency-limit"`
	Connections   int               `json:"connections"`
	Tickets       int               `json:"tickets"`
	PlatformCalls uint64            `json:"platform-calls"`
	Gossip        gossiper.Counters `json:"gossip"`
}

// UpstreamState is what a VM knows about one searcher.
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

// TimelinePage holds events from a VM's ring buffer.
type TimelinePage struct {
	VM     modeler.VMName   `json:"vm"`
	Next   uint64           `json:"next"` // position after the newest event, for the parameter "after" of the next call
	Events []recorder.Event `json:"events"`
}

// Check returns the problems of a received page.
func (p *TimelinePage) Check() modeler.Problems {
	var out modeler.Problems
	out.CheckName(string(p.VM), "vm")
	return out
}

// OperatorHandler answers the requests of operators on one VM.
type OperatorHandler struct {
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

type noValue struct{}

func noInput(*http.Request) (noValue, error) { return noValue{}, nil }

// readHandler returns a handler that answers with the result of f and needs no token.
func readHandler[T any](f func() T) http.HandlerFunc {
	return Handle(noInput, func(context.Context, noValue) (T, error) { return f(), nil })
}

// NewOperatorsHandler returns the handler of the operators' port.
func NewOperatorsHandler(h *OperatorHandler) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/v1/health", h.health).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/status", readHandler(h.Status)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/configuration", readHandler(h.Configuration)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/members", readHandler(h.Members)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/upstreams", readHandler(h.Upstreams)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/quarantine", readHandler(h.Quarantine)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/timeline", Handle(decodeTimelineQuery, h.timeline)).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/metrics", h.metrics).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/drain", Handle(h.authorize, h.drain)).Methods(http.MethodPost)
	refuseUnknownPaths(r)
	return limitBody(r)
}

func (h *OperatorHandler) health(w http.ResponseWriter, _ *http.Request) {
	if !h.Healthy() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

type timelineQuery struct {
	after   uint64
	request modeler.RequestID
}

func decodeTimelineQuery(r *http.Request) (timelineQuery, error) {
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

func (h *OperatorHandler) timeline(_ context.Context, q timelineQuery) (TimelinePage, error) {
	return h.Timeline(q.after, q.request), nil
}

// authorize refuses a request without the operators' token, which every change needs. Without a configured token no
// change is allowed.
func (h *OperatorHandler) authorize(r *http.Request) (noValue, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || h.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(h.Token)) != 1 {
		return noValue{}, refuser.New(refuser.Unauthorized, "an operators' token is needed to change anything")
	}
	return noValue{}, nil
}

func (h *OperatorHandler) drain(context.Context, noValue) (Status, error) {
	h.Drain()
	return h.Status(), nil
}

// metrics writes the metrics as JSON, or with format=text in the Prometheus text format.
func (h *OperatorHandler) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") != "text" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.Metrics, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(prometheusText(h.Metrics))
}

func prometheusText(registry metrics.Registry) []byte {
	var lines []string
	addLine := func(name, suffix string, v float64) {
		lines = append(lines, fmt.Sprintf("pistachiogap_%s%s %g", strings.NewReplacer("-", "_", ".", "_").Replace(name), suffix, v))
	}
	registry.Each(func(name string, m any) {
		switch x := m.(type) {
		case metrics.Counter:
			addLine(name, "_total", float64(x.Count()))
		case metrics.Gauge:
			addLine(name, "", float64(x.Value()))
		case metrics.GaugeFloat64:
			addLine(name, "", x.Value())
		case metrics.Histogram:
			h := x.Snapshot()
			addLine(name, "_count", float64(h.Count()))
			addLine(name, "_sum", float64(h.Sum()))
			for _, q := range []float64{0.5, 0.99, 0.999} {
				addLine(name, fmt.Sprintf(`{quantile="%g"}`, q), h.Percentile(q))
			}
		}
	})
	sort.Strings(lines)
	var b bytes.Buffer
	for _, line := range lines {
		b.WriteString(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}
