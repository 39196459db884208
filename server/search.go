package server

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Query is the body of a search.
type Query struct {
	Text  string `json:"text"`
	Limit int    `json:"limit,omitempty"`
}

// Check returns the problems of the query.
func (q *Query) Check() modeler.Problems {
	var p modeler.Problems
	if q.Text == "" {
		p.Add("is empty", "text")
	}
	if q.Limit < 0 || q.Limit > MaxResultLimit {
		p.Add("must be from 0 to 1000", "limit")
	}
	return p
}

// searchInput is a decoded and checked search.
type searchInput struct {
	id       modeler.RequestID
	index    modeler.IndexName
	body     []byte
	limit    int
	deadline time.Time
}

// SearchHandler answers searches on one VM.
type SearchHandler struct {
	Name                modeler.VMName
	View                func() *planner.View
	Gather              func(ctx context.Context, req scatterer.Request) scatterer.Result
	TakeStarvedAttempts func() int // returns how many attempts since the last call found no connection in time
	Admitter            *limiter.Admitter
	Observer            *observer.Observer
	Quarantine          *observer.Quarantine
	Recorder            *recorder.Recorder
	DeadlineMargin      time.Duration // subtracted from the caller's time budget
	// OnDone is called after every search whose request could be decoded, with the answer's outcome or the error kind.
	OnDone func(outcome string, took time.Duration, res *scatterer.Result)
}

func (h *SearchHandler) decode(r *http.Request) (searchInput, error) {
	in := searchInput{index: modeler.IndexName(mux.Vars(r)["index"])}
	var err error
	if in.id, err = requestID(r); err != nil {
		return in, err
	}
	budget, err := timeBudget(r)
	if err != nil {
		return in, err
	}
	in.deadline = time.Now().Add(budget - h.DeadlineMargin)
	in.body, err = io.ReadAll(r.Body)
	if err != nil {
		return in, bodyRefusal(err, BodyTimeout)
	}
	q, err := parser.DecodeStrict[Query](in.body)
	if err != nil {
		return in, refuser.New(refuser.MalformedRequest, "query: %v", err)
	}
	in.limit = q.Limit
	if in.limit == 0 {
		in.limit = DefaultResultLimit
	}
	return in, nil
}

// requestID returns the id that the caller chose, or a random one.
func requestID(r *http.Request) (modeler.RequestID, error) {
	s := r.Header.Get(HeaderRequest)
	if s == "" {
		return modeler.RequestID(rand.Text()), nil
	}
	id, err := modeler.ParseRequestID(s)
	if err != nil {
		return "", refuser.New(refuser.BadHeader, "%v", err)
	}
	return id, nil
}

// serve admits, runs and answers one search.
func (h *SearchHandler) serve(ctx context.Context, in searchInput) (SearchAnswer, error) {
	start := time.Now()
	h.Recorder.Record(recorder.Event{Kind: recorder.QueryAccepted, Request: in.id, Detail: string(in.index)})
	res, err := h.admitAndRun(ctx, in)
	if err == nil {
		err = searchRefusal(ctx, &res)
	}
	if err != nil {
		refusal := refuser.From(err)
		h.Recorder.Record(recorder.Event{Kind: recorder.QueryRefused, Request: in.id, Detail: refusal.Error()})
		h.OnDone(string(refusal.Kind), time.Since(start), &res)
		return SearchAnswer{}, err
	}
	a := h.answer(in, &res)
	h.Recorder.Record(recorder.Event{Kind: recorder.QueryAnswered, Request: in.id, Detail: string(a.Outcome)})
	h.OnDone(string(a.Outcome), time.Since(start), &res)
	return a, nil
}

func (h *SearchHandler) admitAndRun(ctx context.Context, in searchInput) (scatterer.Result, error) {
	v := h.View()
	if v == nil || v.Position.IsZero() {
		return scatterer.Result{}, refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	index, ok := v.Index(in.index)
	if !ok {
		return scatterer.Result{}, refuser.New(refuser.UnknownIndex, "index %q is not configured", in.index)
	}
	now := time.Now()
	if h.Quarantine.Contains(observer.FingerprintOf(index.Name, in.body), now) {
		return scatterer.Result{}, refuser.New(refuser.Quarantined, "this query crashed searchers and is not run")
	}
	if !h.Admitter.Admit(index.Team, index.Urgent) {
		return scatterer.Result{}, refuser.New(refuser.Overloaded, "team %s is at its limit on this VM", index.Team)
	}
	defer h.Admitter.Release(index.Team)
	res := h.gatherPinned(ctx, in, v, index)
	// Attempts that found no connection in time count as late. Refused attempts and missing shards count only if they
	// are widespread.
	h.Admitter.Observe(time.Now(), res.Sent, h.TakeStarvedAttempts()+ifWidespread(res.Shed, res.Sent)+widespreadMissing(&res))
	return res, nil
}

// gatherPinned gathers the search on the snapshot that the view pins for the index. If a searcher no longer or not
// yet holds that snapshot and the view has pinned another one by then, it gathers the search once more on that one.
// The last argument of Pin is 0 because a snapshot of any age will do.
func (h *SearchHandler) gatherPinned(ctx context.Context, in searchInput, v *planner.View, index *planner.Index) scatterer.Result {
	req := scatterer.Request{ID: in.id, View: v, Index: index, Body: in.body, Limit: in.limit, Deadline: h.effectiveDeadline(in, index)}
	req.Snapshot = v.Pin(index, time.Now(), h.Observer.Generation(), 0)
	if req.Snapshot == nil {
		return scatterer.Result{Refused: true}
	}
	res := h.Gather(ctx, req)
	if !res.NotHeld || res.Crashed || !time.Now().Before(req.Deadline) {
		return res
	}
	repinned := v.Pin(index, time.Now(), h.Observer.Generation(), 0)
	if repinned == nil || repinned.ID == req.Snapshot.ID {
		return res
	}
	h.Recorder.Record(recorder.Event{Kind: recorder.QueryRestarted, Request: in.id, Detail: strconv.FormatUint(uint64(repinned.ID), 10)})
	req.Snapshot = repinned
	second := h.Gather(ctx, req)
	second.Sent += res.Sent
	return second
}
