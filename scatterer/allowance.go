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
// answer, so that without it the caller is late. Otherwise it only makes the answer more complete, and may use
// OptionalShare.
func allowanceShare(p gatherer.Purpose, shards, unanswered, mayMiss int) float64 {
	switch {
	case p == gatherer.Retry:
		return 1
	case shards < 2:
		return limiter.NonRetryShare
	case unanswered <= mayMiss:
		return limiter.OptionalShare
	}
	return limiter.NeededShare
}
