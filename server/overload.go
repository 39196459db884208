package server

import "github.com/pistachiogap/pistachiogap/scatterer"

// widespreadMissing returns how many shards did not answer, if they are too many to be explained by the loss of a few
// services, and so show that searchers are overloaded. After a crash it returns 0.
func widespreadMissing(res *scatterer.Result) int {
	if res.Crashed {
		return 0
	}
	return ifWidespread(res.Shards-res.Answered, res.Shards)
}

// ifWidespread returns n if it is too large a fraction of the total to come from a few searchers, and 0 otherwise. A
// single one is never widespread, however small the total.
func ifWidespread(n, total int) int {
	if n > 1 && n*WidespreadDivisor > total {
		return n
	}
	return 0
}
