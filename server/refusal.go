package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// refusalWithoutAnswer returns the refusal of a request that no searcher or too few shards answered. Its kind says
// that the request was not run only if that is proved. Otherwise it is Unserved, which leaves open whether the
// request ran.
func refusalWithoutAnswer(res *scatterer.Result, detail string) error {
	switch {
	case res.Crashed:
		return refuser.New(refuser.Unserved, "the request crashed searchers and was stopped")
	case res.SearcherWait > 0:
		wait := res.SearcherWait
		return refuser.New(refuser.Overloaded, "%s: too few searchers take requests for %v", detail, wait.Round(time.Millisecond)).After(withJitter(wait))
	case !res.MayHaveRun && res.Faults == (gatherer.FaultCounts{}):
		return refuser.New(refuser.Unregistered, "%s: too few searchers are registered", detail)
	case !res.MayHaveRun && res.Shed > 0:
		return refuser.New(refuser.Overloaded, "%s: searchers refused it", detail)
	case !res.MayHaveRun:
		return refuser.New(refuser.NoSearcher, "%s: no searcher could take it", detail)
	}
	return refuser.New(refuser.Unserved, "%s", detail)
}

// withJitter returns a random time from d to twice d, so that callers that are refused together return one by one.
func withJitter(d time.Duration) time.Duration {
	d = max(d, MinRetryAfter)
	return d + rand.N(d)
}

// routeRetryAfter returns how long a refused caller should wait. Where the refusal doesn't say so: a VM at its limit soon
// has a free slot; a VM without a configuration or without searchers has to wait for the store.
func routeRetryAfter(r *refuser.Refusal) time.Duration {
	if r.RetryAfter > 0 {
		return r.RetryAfter.Round(time.Millisecond)
	}
	switch r.Kind {
	case refuser.Unconfigured, refuser.Unregistered:
		return StoreRetryAfter
	}
	return RouteRetryAfter
}

// retryAfter returns the value of Retry-After for a refusal on a route, in seconds and perhaps with a fraction. There is
// one only if the request was provably not run and may be sent again later.
func retryAfter(r *refuser.Refusal) (string, bool) {
	row := refuser.Lookup(r.Kind)
	if row.RetryAfter == 0 || row.NotRun != refuser.Yes {
		return "", false
	}
	return strconv.FormatFloat(routeRetryAfter(r).Seconds(), 'g', -1, 64), true
}

// refuse writes the refusal within err as plain text, with the status that its error kind has in refuser's table. The
// answer has a Retry-After header, which may be a fraction of a second, only if the request was provably not run.
func (h *RouteHandler) refuse(w http.ResponseWriter, err error, out *RouteResult) {
	refusal := refuser.From(err)
	row := refuser.Lookup(refusal.Kind)
	if after, ok := retryAfter(refusal); ok {
		w.Header().Set("Retry-After", after)
	}
	out.Outcome, out.Detail, out.Status = string(refusal.Kind), refusal.Detail, row.Status
	w.Header().Set("Content-Type", "text/plain")
	body := []byte(refusal.Error() + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(row.Status)
	_, _ = w.Write(body)
}

// searchRefusal returns the refusal of a search that crashed searchers or got no answer, and otherwise nil. The refusal
// has the most exact kind that the results of the attempts prove.
func searchRefusal(ctx context.Context, res *scatterer.Result) error {
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
