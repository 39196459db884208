package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startCallersPort starts a callers' port whose searches are answered by gather, and returns it and its search handler.
func startCallersPort(t *testing.T, gather func(context.Context, scatterer.Request) scatterer.Result) (*httptest.Server, *SearchHandler) {
	t.Helper()
	o := observer.NewObserver()
	cfg := modeler.Configuration{
		Teams:    []modeler.Team{{Name: "t", Share: 1}},
		Services: []modeler.Service{{Name: "desk", Team: "t", Orders: true}, {Name: "ledger", Team: "t"}},
		Indexes: []modeler.Index{{
			Name: "cover", Team: "t", Policy: modeler.Policy{Deadline: modeler.Duration{Duration: time.Second}},
			Snapshots: []modeler.Snapshot{{ID: 1, Shards: []modeler.Shard{{Name: "s", Service: "desk"}}}},
		}},
	}
	view := planner.NewView(modeler.Position{Revision: 1}, "d", nil, []modeler.Configuration{cfg}, o)
	r := recorder.NewRecorder("vm", recorder.NewClock(time.Now))
	h := &SearchHandler{
		Name: "vm", View: func() *planner.View { return view }, Gather: gather, TakeStarvedAttempts: func() int { return 0 },
		Admitter: limiter.NewAdmitter(), Observer: o, Quarantine: observer.NewQuarantine(), Recorder: r,
		OnDone: func(string, time.Duration, *scatterer.Result) {},
	}
	orders := &OrderHandler{OnDone: func(string, time.Duration) {}, Orderer: orderer.NewOrderer(
		ticketer.NewRegistry(1), ticketer.NewSigner([][]byte{[]byte("key")}), nil, r, h.View,
		func(context.Context, ticketer.Incarnation, orderer.Submission) ticketer.Outcome {
			return ticketer.Outcome{Kind: refuser.OutcomeUnknown}
		}, func(int) int { return 0 })}
	server := httptest.NewServer(NewCallersHandler(h, orders, func() bool { return false }))
	t.Cleanup(server.Close)
	return server, h
}

// gatherOneShard returns a complete result of one shard.
func gatherOneShard(_ context.Context, r scatterer.Request) scatterer.Result {
	return scatterer.Result{Snapshot: r.Snapshot.ID, Shards: 1, Answered: 1, Sent: 1}
}

func TestCallers(t *testing.T) {
	foreignTicket := ticketer.NewSigner([][]byte{[]byte("another key")}).Format(ticketer.Ticket{Issuer: 1, Service: "desk"})
	tests := []struct {
		name, method, path, body string
		header                   map[string]string
		want                     refuser.Kind
	}{
		{name: "valid search", want: ""},
		{name: "malformed JSON", body: `{"text"`, want: refuser.MalformedRequest},
		{name: "unknown field", body: `{"text":"x","size":3}`, want: refuser.MalformedRequest},
		{name: "empty query", body: `{"text":""}`, want: refuser.MalformedRequest},
		{name: "oversized body", body: `{"text":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, want: refuser.BodyTooLarge},
		{name: "unknown index", path: "/v1/search/nowhere", want: refuser.UnknownIndex},
		{name: "unknown path", path: "/v2/search", want: refuser.UnknownPath},
		{name: "wrong method", method: http.MethodPut, want: refuser.MethodNotAllowed},
		{name: "missing deadline", header: map[string]string{HeaderDeadline: ""}, want: refuser.BadDeadline},
		{name: "deadline above the maximum", header: map[string]string{HeaderDeadline: "99999999999"}, want: refuser.BadDeadline},
		{name: "negative deadline", header: map[string]string{HeaderDeadline: "-5"}, want: refuser.BadDeadline},
		{name: "request id with forbidden characters", header: map[string]string{HeaderRequest: "a b\"c"}, want: refuser.BadHeader},
		{name: "overlong request id", header: map[string]string{HeaderRequest: strings.Repeat("x", 200)}, want: refuser.BadHeader},
		{name: "order to a service that takes no orders", path: "/v1/order/ledger", want: refuser.UnknownService},
		{name: "order with an idempotency key", path: "/v1/order/desk", header: map[string]string{HeaderKey: "k"}, want: refuser.UnsupportedKey},
		{name: "order with a ticket signed by another key", path: "/v1/order/desk/" + foreignTicket, want: refuser.BadTicket},
		{name: "order that is not JSON", path: "/v1/order/desk/" + foreignTicket, body: "x", want: refuser.MalformedRequest},
	}
	server, _ := startCallersPort(t, gatherOneShard)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			method, path, body := http.MethodPost, "/v1/search/cover", `{"text":"x"}`
			for p, v := range map[*string]string{&method: tt.method, &path: tt.path, &body: tt.body} {
				if v != "" {
					*p = v
				}
			}
			req, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
			req.Header.Set(HeaderDeadline, "1000")
			for k, v := range tt.header {
				req.Header.Set(k, v)
			}
			res, err := server.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			var got RefusalBody
			_ = json.NewDecoder(res.Body).Decode(&got)
			if got.Kind != tt.want {
				t.Fatalf("status %d with error kind %q, want kind %q", res.StatusCode, got.Kind, tt.want)
			}
			if row := refuser.Lookup(tt.want); tt.want != "" && (res.StatusCode != row.Status || got.NotRun != row.NotRun) {
				t.Errorf("status %d with refusal %+v, want status and not-run of the table row %+v", res.StatusCode, got, row)
			}
		})
	}
}

func TestBodyThatNeverEnds(t *testing.T) {
	server, _ := startCallersPort(t, gatherOneShard)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /v1/search/cover HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 1000\r\nContent-Length: 100\r\n\r\n{")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != refuser.Lookup(refuser.BodyTimeout).Status {
		t.Errorf("status %d for a body that never ends, want the status of body-timeout", res.StatusCode)
	}
}

// A caller that disconnects ends its search and frees its concurrency slot.
func TestDisconnectedCallerEndsItsSearch(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	server, h := startCallersPort(t, func(ctx context.Context, _ scatterer.Request) scatterer.Result {
		close(started)
		<-ctx.Done()
		close(ended)
		return scatterer.Result{Sent: 1}
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/search/cover", strings.NewReader(`{"text":"x"}`))
	req.Header.Set(HeaderDeadline, "60000")
	go func() {
		<-started
		cancel()
	}()
	if res, err := server.Client().Do(req); err == nil {
		_ = res.Body.Close()
		t.Fatal("the call succeeded although its context was canceled")
	}
	<-ended
	server.Close()
	if _, underway := h.Admitter.Limit(); underway != 0 {
		t.Errorf("%d requests are still under way after the caller disconnected, want 0", underway)
	}
}

func TestSearchRefusal(t *testing.T) {
	tests := []struct {
		name string
		res  scatterer.Result
		want refuser.Kind
	}{
		{"partial answer", scatterer.Result{Answered: 1, Sent: 2}, ""},
		{"nothing sent", scatterer.Result{}, refuser.NoSearcher},
		{"all attempts shed", scatterer.Result{Sent: 3, Shed: 3}, refuser.Overloaded},
		{"crashed searchers", scatterer.Result{Crashed: true, Answered: 1}, refuser.CrashedSearchers},
		{"no answer in time", scatterer.Result{Sent: 3}, refuser.NoAnswer},
	}
	for _, tt := range tests {
		err := searchRefusal(context.Background(), &tt.res)
		if got := kindOf(err); got != tt.want {
			t.Errorf("%s: error kind %q, want %q", tt.name, got, tt.want)
		}
	}
}

func kindOf(err error) refuser.Kind {
	if err == nil {
		return ""
	}
	return refuser.From(err).Kind
}

// A drain needs the operators' token. Reading the metrics as text needs none.
func TestOperatorChangesNeedToken(t *testing.T) {
	drained := 0
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("search.complete", registry).Inc(3)
	h := &OperatorHandler{
		Status: func() Status { return Status{} }, Healthy: func() bool { return false }, Drain: func() { drained++ },
		Metrics: registry, Token: "secret",
	}
	server := httptest.NewServer(NewOperatorsHandler(h))
	defer server.Close()
	drain := func(token string) int {
		req, _ := http.NewRequest(http.MethodPost, server.URL+"/admin/v1/drain", http.NoBody)
		req.Header.Set("Authorization", "Bearer "+token)
		res, err := server.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	if code := drain("wrong"); code != http.StatusUnauthorized || drained != 0 {
		t.Errorf("drain with a wrong token: status %d, drained %d times, want 401 and 0 times", code, drained)
	}
	if code := drain("secret"); code != http.StatusOK || drained != 1 {
		t.Errorf("drain with the right token: status %d, drained %d times, want 200 and 1 time", code, drained)
	}
	res, err := server.Client().Get(server.URL + "/admin/v1/metrics?format=text")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if b, _ := io.ReadAll(res.Body); !strings.Contains(string(b), "pistachiogap_search_complete_total 3\n") {
		t.Errorf("metrics do not contain pistachiogap_search_complete_total 3:\n%s", b)
	}
}
