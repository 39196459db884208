package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// RequestInfo holds the id and the time budget that the headers of a caller's request give.
type RequestInfo struct {
	ID     modeler.RequestID
	Budget time.Duration // how long the caller waits; 0 if the request does not say
}

// Dialect reads the headers of requests on routes and sets the headers of their answers. The platform, the system
// around the tier (see package platform), defines the names and formats of these headers.
type Dialect struct {
	ReadHeaders func(h http.Header) (RequestInfo, error)
	// SetSingleHeaders sets the headers of an answer that comes from one searcher.
	SetSingleHeaders func(h http.Header, id modeler.RequestID, r *dialer.Reply)
	// SetGatheredHeaders sets the headers of an answer that is merged from the answers of several shards, given the
	// searchers' signatures of these answers and the number of shards without an answer.
	SetGatheredHeaders func(h http.Header, id modeler.RequestID, signatures []string, missing int)
}

// RouteResult describes how a request on a route ended.
type RouteResult struct {
	ID       modeler.RequestID
	Route    modeler.RouteName
	Outcome  string // an Outcome, "failure-passed-on" or an error kind
	Detail   string // says why the request was refused; empty if it was not
	Status   int
	Took     time.Duration
	Position modeler.Position // of the configuration that was in force
	Result   scatterer.Result
}

// RouteHandler answers requests on routes on one VM.
type RouteHandler struct {
	Dialect             Dialect
	View                func() *planner.View
	Gather              func(ctx context.Context, req scatterer.Request) scatterer.Result
	GatheredAdmitter    *limiter.Admitter // admits requests that are answered by several shards
	SingleAdmitter      *limiter.Admitter // admits requests that are answered by one searcher
	TakeStarvedAttempts func() int        // returns how many attempts since the last call found no connection in time
	Quarantine          *observer.Quarantine
	Draining            func() bool
	Stop                *Stop
	OnDone              func(*RouteResult)                                   // called after every request
	Merge               func(parts []scatterer.ShardReply, limit int) []byte // returns at most limit records of the shards' answers
}

// routeRequest is the state of one request on a route.
type routeRequest struct {
	info        RequestInfo
	start       time.Time
	deadline    time.Time
	view        *planner.View
	route       *planner.Route
	snapshot    *planner.Snapshot
	body        []byte
	fingerprint observer.Fingerprint
	trial       bool // the request is quarantined, and let through to find out whether it still crashes searchers
}

// ServeHTTP answers one request on a route.
func (h *RouteHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	out := &RouteResult{}
	rr := &routeRequest{start: time.Now()}
	err := h.prepare(w, r, rr)
	if err == nil {
		err = h.run(w, r, rr, out)
	}
	if err != nil {
		h.refuse(w, err, out)
	}
	out.ID, out.Took = rr.info.ID, time.Since(rr.start)
	if rr.route != nil {
		out.Route = rr.route.Name
	}
	if rr.view != nil {
		out.Position = rr.view.Position
	}
	h.OnDone(out)
}

// prepare reads the whole request and finds its route, or returns why the request is refused.
func (h *RouteHandler) prepare(w http.ResponseWriter, r *http.Request, rr *routeRequest) error {
	var err error
	if rr.info, err = h.Dialect.ReadHeaders(r.Header); err != nil {
		return refuser.New(refuser.BadHeader, "%v", err)
	}
	if rr.view = h.View(); rr.view == nil || !rr.view.HasRoutes() {
		return refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	if err = checkHeaders(w, r, rr.view.Limits); err != nil {
		return err
	}
	if rr.body, err = h.readBody(w, r, rr.view.Limits); err != nil {
		return err
	}
	// Reading the body may have taken so long that a newer configuration is in force.
	rr.view = h.View()
	var ok bool
	if rr.route, ok = rr.view.Match(hostOf(r), pathOf(r.RequestURI)); !ok {
		return refuser.New(refuser.UnknownRoute, "no route for host %q and path", r.Host)
	}
	rr.snapshot = rr.route.Choose(rand.Float64())
	rr.deadline = rr.start.Add(rr.route.Timeout.Duration - TimeoutMargin)
	if rr.info.Budget > 0 {
		rr.deadline = earlierTime(rr.deadline, rr.start.Add(rr.info.Budget-ReturnMargin))
	}
	rr.fingerprint = observer.FingerprintOfMessage(rr.route.Index.Name, r.Method, r.RequestURI, rr.body)
	remaining := h.Quarantine.Remaining(rr.fingerprint, rr.start)
	if remaining == 0 {
		return nil
	}
	if rr.trial = h.Quarantine.TakeTrial(rr.fingerprint, rr.start); !rr.trial {
		return refuser.New(refuser.Withheld, "this request crashed searchers and is not run").After(remaining)
	}
	klog.InfoS("request: trial of a quarantined one", "id", string(rr.info.ID), "fingerprint", uint64(rr.fingerprint))
	return nil
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return host
}

// pathOf returns the path of a request target as the caller sent it, without decoding.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// readBody reads the request's body within the configuration's size limit, and within the longer of BodyTimeout and the
// configuration's header timeout; the configuration has no timeout of its own for bodies. Without configured limits,
// MaxBodyBytes and BodyTimeout hold.
func (h *RouteHandler) readBody(w http.ResponseWriter, r *http.Request, limits *modeler.Limits) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limits == nil {
		return receiveBody(w, r, MaxBodyBytes, BodyTimeout)
	}
	return receiveBody(w, r, limits.BodyBytes, max(BodyTimeout, limits.HeaderTimeout.Duration))
}

// run admits the request, sends it to searchers and writes the answer.
func (h *RouteHandler) run(w http.ResponseWriter, r *http.Request, rr *routeRequest, out *RouteResult) error {
	if !rr.start.Before(rr.deadline) {
		return refuser.New(refuser.Overloaded, "no time is left")
	}
	if !h.Stop.Admits(time.Now(), rr.route) {
		return refuser.New(refuser.Draining, "this VM stops before it could answer")
	}
	if err := startRun(r); err != nil {
		return err
	}
	admitter := h.admitter(rr)
	// Requests on routes belong to no team. Those of priority 0 are urgent.
	if !admitter.Admit("", rr.route.Priority == 0) {
		return refuser.New(refuser.Overloaded, "this VM is at its limit")
	}
	res := h.gather(r, rr, admitter)
	// Attempts that found no connection in time count as late. Refused attempts count only if they are widespread.
	admitter.Observe(time.Now(), res.Sent, h.TakeStarvedAttempts()+ifWidespread(res.Shed, res.Sent))
	out.Result = res
	if len(rr.route.Shards) > 0 {
		return h.writeGathered(w, rr, &res, out)
	}
	return h.writeSingle(w, rr, &res, out)
}

// gather runs an admitted request and releases its concurrency slot, even if the request panics.
func (h *RouteHandler) gather(r *http.Request, rr *routeRequest, admitter *limiter.Admitter) scatterer.Result {
	defer admitter.Release("")
	ctx, cancel := h.Stop.Limit(r.Context())
	defer cancel()
	return h.Gather(ctx, h.scatterRequest(r, rr))
}

// admitter returns the admitter for the request. Gathered requests and those that one searcher answers have an admitter
// each, because they go to different searchers: refusals of the one kind say nothing about the searchers of the other.
func (h *RouteHandler) admitter(rr *routeRequest) *limiter.Admitter {
	if len(rr.route.Shards) > 0 {
		return h.GatheredAdmitter
	}
	return h.SingleAdmitter
}

func (h *RouteHandler) scatterRequest(r *http.Request, rr *routeRequest) scatterer.Request {
	req := scatterer.Request{
		ID: rr.info.ID, View: rr.view, Index: rr.route.Index, Snapshot: rr.snapshot, Body: rr.body, Limit: rr.route.Limit, Deadline: rr.deadline,
		Forward: &scatterer.Forward{
			Message:     &dialer.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header},
			Patience:    rr.deadline,
			MaxRuns:     rr.route.Attempts,
			AtMostOnce:  !rr.route.Idempotent,
			Fingerprint: rr.fingerprint,
			Reserve:     rr.route.Reserve,
		},
	}
	if rr.trial {
		req.Forward.MaxRuns = 1
	}
	if len(rr.route.Shards) > 0 && rr.route.Objective.Duration > 0 {
		req.Forward.Patience = earlierTime(rr.deadline, rr.start.Add(rr.route.Objective.Duration-ObjectiveMargin))
	}
	return req
}
