package server

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Incoming is what a caller's request says of itself beside its message.
type Incoming struct {
	ID     modeler.RequestID
	Budget time.Duration
}

// Dialect is how callers' requests on routes, and their answers, look.
type Dialect struct {
	Incoming func(h http.Header) (Incoming, error)
	Single   func(h http.Header, id modeler.RequestID, r *dialer.Reply)
	Gathered func(h http.Header, id modeler.RequestID, stamps []string, missing int)
}

// Forwarded says how a request on a route ended.
type Forwarded struct {
	ID      modeler.RequestID
	Route   modeler.RouteName
	Outcome string
	Detail  string
	Status  int
	Took    time.Duration
	Config  modeler.Revision
	Result  scatterer.Result
}

// Forwards answers requests on routes on one VM.
type Forwards struct {
	Dialect    Dialect
	View       func() *planner.View
	Gather     func(ctx context.Context, req scatterer.Request) scatterer.Result
	Gathered   *limiter.Admitter
	Single     *limiter.Admitter
	Starved    func() int
	Quarantine *observer.Quarantine
	Draining   func() bool
	Done       func(*Forwarded)
	Merge      func(parts []scatterer.Part, limit int) []byte
}

// forward is one request on a route under way.
type forward struct {
	in          Incoming
	start       time.Time
	deadline    time.Time
	view        *planner.View
	route       *planner.Route
	snapshot    *planner.Snapshot
	body        []byte
	fingerprint observer.Fingerprint
}

// ServeHTTP serves one request.
func (s *Forwards) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Draining() {
		w.Header().Set("Connection", "close")
	}
	done := &Forwarded{}
	f := &forward{start: time.Now()}
	err := s.prepare(w, r, f)
	if err == nil {
		err = s.run(w, r, f, done)
	}
	if err != nil {
		s.refuse(w, err, done)
	}
	done.ID, done.Took = f.in.ID, time.Since(f.start)
	if f.route != nil {
		done.Route = f.route.Name
	}
	if f.view != nil {
		done.Config = f.view.Revision
	}
	s.Done(done)
}

// prepare finds the route of a request and reads the whole request.
func (s *Forwards) prepare(w http.ResponseWriter, r *http.Request, f *forward) error {
	var err error
	if f.in, err = s.Dialect.Incoming(r.Header); err != nil {
		return refuser.New(refuser.BadHeader, "%v", err)
	}
	if f.view = s.View(); f.view == nil || !f.view.HasRoutes() {
		return refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	if err = checkHeaders(w, r, f.view.Limits); err != nil {
		return err
	}
	if f.body, err = s.readBody(w, r, f.view.Limits); err != nil {
		return err
	}
	// The body may have taken long; a later configuration may be in force by now.
	f.view = s.View()
	var ok bool
	if f.route, ok = f.view.Match(hostOf(r), pathOf(r.RequestURI)); !ok {
		return refuser.New(refuser.UnknownRoute, "no route for host %q and path", r.Host)
	}
	f.snapshot = f.route.Choose(rand.Float64())
	f.deadline = f.start.Add(f.route.Timeout.Duration - TimeoutMargin)
	if f.in.Budget > 0 {
		f.deadline = earlier(f.deadline, f.start.Add(f.in.Budget-ReturnMargin))
	}
	f.fingerprint = observer.FingerprintOf(f.route.Index.Name, append([]byte(r.Method+" "+r.RequestURI+"\x00"), f.body...))
	if s.Quarantine.Holds(f.fingerprint, f.start) {
		return refuser.New(refuser.Withheld, "this request crashed searchers and is not run")
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return host
}

// pathOf returns the path of a request target as it was sent.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// checkHeaders refuses a request whose line and headers are larger than the limit.
func checkHeaders(w http.ResponseWriter, r *http.Request, limits *modeler.Limits) error {
	if limits == nil || limits.HeaderBytes <= 0 {
		return nil
	}
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	if n <= limits.HeaderBytes {
		return nil
	}
	w.Header().Set("Connection", "close")
	return refuser.New(refuser.HeaderTooLarge, "headers have %d bytes, at most %d are allowed", n, limits.HeaderBytes)
}

// headerLineBytes is what a header line has beside its name and value: a colon, a space and the line's end.
const headerLineBytes = 4

func (s *Forwards) readBody(w http.ResponseWriter, r *http.Request, limits *modeler.Limits) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	most, within := int64(MaxBodyBytes), BodyTimeout
	if limits != nil {
		most, within = limits.BodyBytes, max(within, limits.HeaderTimeout.Duration)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(within))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// run admits the request, runs it and writes its answer.
func (s *Forwards) run(w http.ResponseWriter, r *http.Request, f *forward, done *Forwarded) error {
	if !f.start.Before(f.deadline) {
		return refuser.New(refuser.Overloaded, "no time is left")
	}
	admitter := s.admitter(f)
	if !admitter.Admit("", f.route.Priority == 0) {
		return refuser.New(refuser.Overloaded, "this VM is at its limit")
	}
	res := s.gather(r, f, admitter)
	admitter.Observe(time.Now(), res.Sent, s.Starved()+widely(res.Shed, res.Sent))
	done.Result = res
	if len(f.route.Shards) > 0 {
		return s.writeGathered(w, f, &res, done)
	}
	return s.writeSingle(w, f, &res, done)
}

// gather runs an admitted request and gives its place back, even if it panics.
func (s *Forwards) gather(r *http.Request, f *forward, admitter *limiter.Admitter) scatterer.Result {
	defer admitter.Release("")
	return s.Gather(r.Context(), s.request(r, f))
}

// admitter returns what admits the request: searchers that refuse parts say nothing of those that serve single requests.
func (s *Forwards) admitter(f *forward) *limiter.Admitter {
	if len(f.route.Shards) > 0 {
		return s.Gathered
	}
	return s.Single
}

func (s *Forwards) request(r *http.Request, f *forward) scatterer.Request {
	req := scatterer.Request{
		ID: f.in.ID, View: f.view, Index: f.route.Index, Snapshot: f.snapshot, Body: f.body, Limit: f.route.Limit, Deadline: f.deadline,
		Forward: &scatterer.Forward{
			Message:     &dialer.Message{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header},
			Patience:    f.deadline,
			Attempts:    f.route.Attempts,
			AtMostOnce:  !f.route.Idempotent,
			Fingerprint: f.fingerprint,
		},
	}
	if len(f.route.Shards) > 0 && f.route.Objective.Duration > 0 {
		req.Forward.Patience = earlier(f.deadline, f.start.Add(f.route.Objective.Duration-ObjectiveMargin))
	}
	return req
}

// writeGathered answers with the best records of the parts, if they cover enough of the shards.
func (s *Forwards) writeGathered(w http.ResponseWriter, f *forward, res *scatterer.Result, done *Forwarded) error {
	if float64(len(res.Parts)) < f.route.LeastCoverage*float64(len(f.route.Shards)) || len(res.Parts) == 0 {
		return unserved(res, fmt.Sprintf("%d of %d shards answered", len(res.Parts), len(f.route.Shards)))
	}
	stamps := make([]string, len(res.Parts))
	for i, p := range res.Parts {
		stamps[i] = p.Reply.Stamp
	}
	missing := len(f.route.Shards) - len(res.Parts)
	s.Dialect.Gathered(w.Header(), f.in.ID, stamps, missing)
	done.Outcome = string(Complete)
	if missing > 0 {
		done.Outcome = string(Partial)
	}
	writeBytes(w, http.StatusOK, s.Merge(res.Parts, f.route.Limit), done)
	return nil
}

// writeSingle passes on the searcher's answer, or else its last failure.
func (s *Forwards) writeSingle(w http.ResponseWriter, f *forward, res *scatterer.Result, done *Forwarded) error {
	reply := res.Failure
	done.Outcome = "failure-passed-on"
	if len(res.Parts) > 0 {
		reply = &res.Parts[0].Reply
		done.Outcome = string(Complete)
	}
	if reply == nil {
		return unserved(res, "no searcher answered")
	}
	s.Dialect.Single(w.Header(), f.in.ID, reply)
	writeBytes(w, reply.Status, reply.Body, done)
	return nil
}

func writeBytes(w http.ResponseWriter, status int, body []byte, done *Forwarded) {
	done.Status = status
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// unserved returns the refusal of a request without an answer: it may be retried as not run only if that is proved.
func unserved(res *scatterer.Result, detail string) error {
	switch {
	case res.Crashed:
		return refuser.New(refuser.Unserved, "the request crashed searchers and was stopped")
	case !res.MayHaveRun && res.Faults == (gatherer.FaultCounts{}):
		return refuser.New(refuser.Unregistered, "%s: too few searchers are registered", detail)
	case !res.MayHaveRun && res.Shed > 0:
		return refuser.New(refuser.Overloaded, "%s: searchers refused it", detail)
	case !res.MayHaveRun:
		return refuser.New(refuser.NoSearcher, "%s: no searcher could take it", detail)
	}
	return refuser.New(refuser.Unserved, "%s", detail)
}

// retryAfter returns when a caller that was refused may be served: a VM at its limit soon has a place, one without a configuration or searchers waits for the store.
func retryAfter(k refuser.Kind) time.Duration {
	switch k {
	case refuser.Unconfigured, refuser.Unregistered:
		return StoreRetryAfter
	}
	return RouteRetryAfter
}

// refuse answers an error by the table of kinds.
func (s *Forwards) refuse(w http.ResponseWriter, err error, done *Forwarded) {
	refusal := refuser.From(err)
	row := refuser.Lookup(refusal.Kind)
	if row.RetryAfter > 0 && row.NotRun == refuser.Yes {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter(refusal.Kind).Seconds(), 'g', -1, 64))
	}
	done.Outcome, done.Detail, done.Status = string(refusal.Kind), refusal.Detail, row.Status
	w.Header().Set("Content-Type", "text/plain")
	body := []byte(refusal.Error() + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	_, _ = w.Write(body)
}
