package scatterer

import (
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
)

// allowanceShare returns the part of the allowance within which an extra attempt of the request must stay.
func (r *run) allowanceShare(p gatherer.Purpose) float64 {
	n := len(r.plan.Shards)
	return allowanceShare(p, n, n-r.query.AnsweredShards(), maxMissing(n, r.plan.LeastCoverage))
}

// allowanceShare decides who gets the extra sends when slow searchers use up the allowance. Retries may use all of it. A
// hedge of a request over many shards may use NeededShare while more shards are unanswered than may be missing from the
// answer, so that without it the caller is late. Other hedges, also those that only complete an answer, may use
// NonRetryShare.
func allowanceShare(p gatherer.Purpose, shards, unanswered, mayMiss int) float64 {
	switch {
	case p == gatherer.Retry:
		return 1
	case shards > 1 && unanswered > mayMiss:
		return limiter.NeededShare
	}
	return limiter.NonRetryShare
}
