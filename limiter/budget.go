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
	denied uint64
}

// NewBudget makes a full budget that allows share extra sends for each primary one.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: max(burst, MinBurst), tokens: max(burst, MinBurst)}
}

// Set changes the share and the burst, in sends.
func (b *Budget) Set(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst = share, max(burst, MinBurst)
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
		b.denied++
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

// For returns the hedge and the retry budget of an index, set to its shares of the primary load.
func (b *Budgets) For(index modeler.IndexName, hedgeShare, retryShare float64, burst int) (hedges, retries *Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.of[index]
	if !ok {
		p = pair{NewBudget(hedgeShare, float64(burst)), NewBudget(retryShare, float64(burst))}
		b.of[index] = p
	}
	p.hedges.Set(hedgeShare, float64(burst))
	p.retries.Set(retryShare, float64(burst))
	return p.hedges, p.retries
}

// Connections returns how many connections to one searcher a VM may hold, given the published limit and the VMs that may hold one.
func Connections(limit, vms int) int {
	return max(1, int(float64(limit)*ConnectionHeadroom)/max(1, vms))
}
