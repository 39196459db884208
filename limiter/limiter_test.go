package limiter

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestBudgetKeepsItsShare(t *testing.T) {
	const share, primaries, burst = 0.05, 100_000, 50
	b := NewBudget(share, burst)
	spent := 0
	for range primaries {
		b.Earn(1)
		for b.Spend() {
			spent++
		}
	}
	if limit := share*primaries + burst; float64(spent) > limit {
		t.Errorf("spent %d, more than %.0f", spent, limit)
	}
	if spent < share*primaries {
		t.Errorf("spent %d, less than the share", spent)
	}
}

func TestBudgetLeavesHalf(t *testing.T) {
	b := NewBudget(0, 40)
	n := 0
	for b.SpendAboveHalf() {
		n++
	}
	if n != 20 || !b.Spend() {
		t.Errorf("ordinary hedges took %d of 40", n)
	}
}

func TestConnections(t *testing.T) {
	tests := []struct{ limit, vms, want int }{{25, 9, 2}, {110, 9, 11}, {25, 18, 1}, {25, 100, 1}, {30, 1, 27}}
	for _, tt := range tests {
		if got := Connections(tt.limit, tt.vms); got != tt.want {
			t.Errorf("limit %d over %d VMs: %d, not %d", tt.limit, tt.vms, got, tt.want)
		}
	}
}

func admitter(limit float64) *Admitter {
	a := NewAdmitter()
	a.limit = limit
	a.SetShares([]modeler.Team{{Name: "small", Share: 0.25}, {Name: "large", Share: 0.5}})
	return a
}

func TestAdmitterKeepsShares(t *testing.T) {
	a := admitter(40)
	greedy := 0
	for a.Admit("large", false) {
		greedy++
	}
	if greedy != 30 {
		t.Errorf("the large team took %d of 40, with 10 kept for the small one", greedy)
	}
	small := 0
	for a.Admit("small", false) {
		small++
	}
	if small != 10 {
		t.Errorf("the small team got %d of its 10", small)
	}
	if a.Admit("unknown", false) {
		t.Error("a team without a share got in beyond the limit")
	}
	urgent := 0
	for a.Admit("large", true) {
		urgent++
	}
	if urgent != 10 {
		t.Errorf("urgent searches got %d places beyond the limit, not a quarter of it", urgent)
	}
	a.Release("large")
	if limit, underway := a.Limit(); limit != 40 || underway != 49 {
		t.Errorf("limit %.0f, under way %d", limit, underway)
	}
}

func TestAdmitterAdapts(t *testing.T) {
	a := admitter(64)
	now := epoch
	for range 64 {
		a.Admit("large", false)
	}
	for range 50 {
		now = now.Add(AdjustInterval)
		a.Observe(now, 100, 50)
	}
	if low, _ := a.Limit(); low != MinConcurrency {
		t.Errorf("limit is %.0f after 5 s of shedding", low)
	}
	for range 50 {
		now = now.Add(AdjustInterval)
		a.Observe(now, 100, 0)
	}
	if high, _ := a.Limit(); high < 32 {
		t.Errorf("limit is %.0f after 5 s without shedding", high)
	}
	a.Observe(now.Add(AdjustInterval), MinSamples-1, MinSamples-1)
	if l, _ := a.Limit(); l < 32 {
		t.Error("too few samples changed the limit")
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := admitter(1000)
	for b.Loop() {
		if a.Admit("small", false) {
			a.Release("small")
		}
	}
}
