package limiter

import (
	"sync"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Budget is a token bucket that primary sends fill and extra sends empty.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget makes a full budget that allows share extra sends for each primary one.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Set changes the share and the burst, in sends.
func (b *Budget) Set(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst = share, burst
}

// Earn records n primary sends.
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
	mu sync.Mutex
	of map[modeler.IndexName]pair
}

type pair struct{ hedges, retries *Budget }

// NewBudgets makes an empty set of budgets.
func NewBudgets() *Budgets { return &Budgets{of: map[modeler.IndexName]pair{}} }

// For returns the hedge and the retry budget of an index, set to its shares of the primary load. Their bursts answer the loss of every replica of two searches at once.
func (b *Budgets) For(index modeler.IndexName, hedgeShare, retryShare float64, shards int) (hedges, retries *Budget) {
	burst := float64(max(MinBurst, 2*shards))
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.of[index]
	if !ok {
		p = pair{NewBudget(hedgeShare, burst), NewBudget(retryShare, burst)}
		b.of[index] = p
	}
	p.hedges.Set(hedgeShare, burst)
	p.retries.Set(retryShare, burst)
	return p.hedges, p.retries
}

// SpendAboveHalf takes one token only while the bucket is more than half full, so that the rest is left for who needs it more.
func (b *Budget) SpendAboveHalf() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+b.burst/2 {
		return false
	}
	b.tokens--
	return true
}

// Connections returns how many connections to one searcher a VM may hold, given the published limit and the VMs that may hold one.
func Connections(limit, vms int) int {
	return max(1, int(float64(limit)*ConnectionHeadroom)/max(1, vms))
}
