package limiter

import (
	"sync"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Budget is a token bucket. Primary sends, the first attempts of a search at each shard, add tokens. Each extra send (a
// hedge, a probe or a retry) that is not free takes one.
type Budget struct {
	mu     sync.Mutex
	share  float64 // tokens added per primary send
	burst  float64 // maximum of tokens
	tokens float64
}

// NewBudget returns a full budget that allows share extra sends for each primary one.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Set changes the tokens added per primary send (share) and the maximum of tokens (burst).
func (b *Budget) Set(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst = share, burst
}

// Earn adds the tokens for n primary sends.
func (b *Budget) Earn(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.share*float64(n))
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds the hedge and the retry budget of each index.
type Budgets struct {
	mu      sync.Mutex
	byIndex map[modeler.IndexName]indexBudgets
}

// indexBudgets are the budgets of one index.
type indexBudgets struct{ hedges, retries *Budget }

// NewBudgets returns an empty set of budgets.
func NewBudgets() *Budgets { return &Budgets{byIndex: map[modeler.IndexName]indexBudgets{}} }

// For returns the hedge and the retry budget of an index, set to the given shares of the primary sends. Their burst
// suffices for one extra send to each shard of two searches, in case these lose the replicas of all shards at once.
func (b *Budgets) For(index modeler.IndexName, hedgeShare, retryShare float64, shards int) (hedges, retries *Budget) {
	burst := float64(max(MinBurst, 2*shards))
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.byIndex[index]
	if !ok {
		p = indexBudgets{NewBudget(hedgeShare, burst), NewBudget(retryShare, burst)}
		b.byIndex[index] = p
	}
	p.hedges.Set(hedgeShare, burst)
	p.retries.Set(retryShare, burst)
	return p.hedges, p.retries
}

// SpendAboveHalf takes one token if that leaves the bucket at least half full, and reports whether it did. The lower
// half is left to late hedges, which a search sends to shards that are late by more than one hedge delay.
func (b *Budget) SpendAboveHalf() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+b.burst/2 {
		return false
	}
	b.tokens--
	return true
}

// Connections returns how many connections to one searcher a VM may hold, given the limit that the searcher publishes
// and the number of VMs that may hold one. It applies to a VM that does not serve routes; for one that does, ShareOf and
// ShareOfThin apply.
func Connections(limit, vms int) int {
	return max(1, int(float64(limit)*ConnectionFraction)/max(1, vms))
}
