package server

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/pistachiogap/pistachiogap/dialer"
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

// Check returns the faults of the query.
func (q *Query) Check() modeler.Problems {
	var p modeler.Problems
	if q.Text == "" {
		p.Add("is empty", "text")
	}
	if q.Limit < 0 || q.Limit > MaxLimit {
		p.Add("must be from 0 to 1000", "limit")
	}
	return p
}

// Coverage says which part of the snapshot an answer covers.
type Coverage struct {
	ShardsTotal       int                 `json:"shards-total"`
	ShardsAnswered    int                 `json:"shards-answered"`
	DocumentsTotal    uint64              `json:"documents-total"`
	DocumentsSearched uint64              `json:"documents-searched"`
	Missing           []modeler.ShardName `json:"missing,omitempty"`
}

// Outcome says whether an answer is whole.
type Outcome string

// The outcomes of a search that is answered.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
)

// SearchAnswer is the answer to a search.
type SearchAnswer struct {
	Request  modeler.RequestID  `json:"request-id"`
	Snapshot modeler.SnapshotID `json:"snapshot"`
	Hits     []dialer.Hit       `json:"hits"`
	Coverage Coverage           `json:"coverage"`
	Complete bool               `json:"complete"`
	Outcome  Outcome            `json:"outcome"`
	Attempts int                `json:"attempts"`
	VM       modeler.VMName     `json:"vm"`
}

// Check returns the faults of the answer.
func (a *SearchAnswer) Check() modeler.Problems {
	var p modeler.Problems
	if a.Coverage.ShardsAnswered > a.Coverage.ShardsTotal {
		p.Add("exceeds the total", "coverage", "shards-answered")
	}
	return p
}

// searchInput is a search that was decoded and checked.
type searchInput struct {
	id       modeler.RequestID
	index    modeler.IndexName
	body     []byte
	limit    int
	deadline time.Time
}

// Searches answers searches on one VM.
type Searches struct {
	Name       modeler.VMName
	View       func() *planner.View
	Gather     func(ctx context.Context, req scatterer.Request) scatterer.Result
	Starved    func() int
	Admitter   *limiter.Admitter
	Observer   *observer.Observer
	Quarantine *observer.Quarantine
	Recorder   *recorder.Recorder
	Margin     time.Duration
	Done       func(kind string, took time.Duration, res *scatterer.Result)
}

func (s *Searches) decode(r *http.Request) (searchInput, error) {
	in := searchInput{index: modeler.IndexName(mux.Vars(r)["index"])}
	var err error
	if in.id, err = requestID(r); err != nil {
		return in, err
	}
	budget, err := deadline(r)
	if err != nil {
		return in, err
	}
	in.deadline = time.Now().Add(budget - s.Margin)
	in.body, err = io.ReadAll(r.Body)
	if err != nil {
		return in, bodyRefusal(err)
	}
	q, err := parser.DecodeStrict[Query](in.body)
	if err != nil {
		return in, refuser.New(refuser.MalformedRequest, "query: %v", err)
	}
	in.limit = q.Limit
	if in.limit == 0 {
		in.limit = DefaultLimit
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

func deadline(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderDeadline)
	if s == "" {
		return 0, refuser.New(refuser.BadDeadline, "header %s is missing", HeaderDeadline)
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < modeler.MinDeadline.Milliseconds() || ms > modeler.MaxDeadline.Milliseconds() {
		return 0, refuser.New(refuser.BadDeadline, "header %s must be from 1 to %d", HeaderDeadline, modeler.MaxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// serve admits, runs and answers one search.
func (s *Searches) serve(ctx context.Context, in searchInput) (SearchAnswer, error) {
	start := time.Now()
	s.Recorder.Record(recorder.Event{Kind: recorder.QueryAccepted, Request: in.id, Detail: string(in.index)})
	res, err := s.admit(ctx, in)
	if err == nil {
		err = verdict(ctx, &res)
	}
	if err != nil {
		refusal := refuser.From(err)
		s.Recorder.Record(recorder.Event{Kind: recorder.QueryRefused, Request: in.id, Detail: refusal.Error()})
		s.Done(string(refusal.Kind), time.Since(start), &res)
		return SearchAnswer{}, err
	}
	a := s.answer(in, &res)
	s.Recorder.Record(recorder.Event{Kind: recorder.QueryAnswered, Request: in.id, Detail: string(a.Outcome)})
	s.Done(string(a.Outcome), time.Since(start), &res)
	return a, nil
}

func (s *Searches) admit(ctx context.Context, in searchInput) (scatterer.Result, error) {
	v := s.View()
	if v == nil || v.Revision == 0 {
		return scatterer.Result{}, refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	x, ok := v.Index(in.index)
	if !ok {
		return scatterer.Result{}, refuser.New(refuser.UnknownIndex, "index %q is not configured", in.index)
	}
	now := time.Now()
	if s.Quarantine.Holds(observer.FingerprintOf(x.Name, in.body), now) {
		return scatterer.Result{}, refuser.New(refuser.Quarantined, "this query crashed searchers and is not run")
	}
	if !s.Admitter.Admit(x.Team, x.Urgent) {
		return scatterer.Result{}, refuser.New(refuser.Overloaded, "team %s is at its limit on this VM", x.Team)
	}
	defer s.Admitter.Release(x.Team)
	res := s.run(ctx, in, v, x)
	s.Admitter.Observe(time.Now(), res.Sent, s.Starved()+widely(res.Shed, res.Sent)+widelyMissing(&res))
	return res, nil
}

// widelyMissing returns the shards without an answer if they are too many to be the loss of a few services: then searchers are behind.
func widelyMissing(res *scatterer.Result) int {
	if res.Crashed {
		return 0
	}
	return widely(res.Shards-res.Answered, res.Shards)
}

// widely returns n if it is too large a part of the whole to come from a few searchers.
func widely(n, of int) int {
	if n > 1 && n*LostServices > of {
		return n
	}
	return 0
}

// run gathers the search on the pinned snapshot, and once more on another one if searchers no longer or not yet hold it.
func (s *Searches) run(ctx context.Context, in searchInput, v *planner.View, x *planner.Index) scatterer.Result {
	req := scatterer.Request{ID: in.id, View: v, Index: x, Body: in.body, Limit: in.limit, Deadline: s.within(in, x)}
	req.Snapshot = v.Pin(x, time.Now(), s.Observer.Generation(), 0)
	if req.Snapshot == nil {
		return scatterer.Result{Refused: true}
	}
	res := s.Gather(ctx, req)
	if !res.NotHeld || res.Crashed || !time.Now().Before(req.Deadline) {
		return res
	}
	again := v.Pin(x, time.Now(), s.Observer.Generation(), 0)
	if again == nil || again.ID == req.Snapshot.ID {
		return res
	}
	s.Recorder.Record(recorder.Event{Kind: recorder.QueryRestarted, Request: in.id, Detail: strconv.FormatUint(uint64(again.ID), 10)})
	req.Snapshot = again
	second := s.Gather(ctx, req)
	second.Sent += res.Sent
	return second
}

// within returns the earlier of the caller's deadline and the one of the index.
func (s *Searches) within(in searchInput, x *planner.Index) time.Time {
	limit := time.Now().Add(x.Policy.Deadline.Duration)
	if in.deadline.Before(limit) {
		return in.deadline
	}
	return limit
}

// verdict refuses a search without any answer as truthfully as its attempts allow.
func verdict(ctx context.Context, res *scatterer.Result) error {
	switch {
	case res.Crashed:
		return refuser.New(refuser.CrashedSearchers, "the query crashed searchers and was stopped")
	case res.Answered > 0:
		return nil
	case res.Refused || res.Sent == 0:
		return refuser.New(refuser.NoSearcher, "no searcher could take the query")
	case res.Sent == res.Shed:
		return refuser.New(refuser.Overloaded, "every searcher refused the query before running it")
	case ctx.Err() != nil:
		return refuser.New(refuser.CallerGone, "the caller went away")
	}
	return refuser.New(refuser.NoAnswer, "no searcher answered in time")
}

func (s *Searches) answer(in searchInput, res *scatterer.Result) SearchAnswer {
	a := SearchAnswer{
		Request: in.id, Snapshot: res.Snapshot, Hits: res.Hits, VM: s.Name, Attempts: res.Sent,
		Coverage: Coverage{res.Shards, res.Answered, res.Total, res.Documents, res.Missing},
		Complete: res.Answered == res.Shards, Outcome: Partial,
	}
	if a.Complete {
		a.Outcome = Complete
	}
	if a.Hits == nil {
		a.Hits = []dialer.Hit{}
	}
	return a
}
