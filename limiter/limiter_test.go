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
		t.Errorf("%d extra sends, more than the %.0f that share and burst allow", spent, limit)
	}
	if spent < share*primaries {
		t.Errorf("%d extra sends, fewer than the share allows", spent)
	}
}

func TestSpendAboveHalfLeavesHalf(t *testing.T) {
	b := NewBudget(0, 40)
	n := 0
	for b.SpendAboveHalf() {
		n++
	}
	if n != 20 || !b.Spend() {
		t.Errorf("SpendAboveHalf took %d of 40 tokens, want 20 and the rest left to Spend", n)
	}
}

func TestConnections(t *testing.T) {
	tests := []struct{ limit, vms, want int }{{25, 9, 2}, {110, 9, 11}, {25, 18, 1}, {25, 100, 1}, {30, 1, 27}}
	for _, tt := range tests {
		if got := Connections(tt.limit, tt.vms); got != tt.want {
			t.Errorf("Connections(%d, %d) = %d, want %d", tt.limit, tt.vms, got, tt.want)
		}
	}
}

func newTestAdmitter(limit float64) *Admitter {
	a := NewAdmitter()
	a.limit = limit
	a.SetShares([]modeler.Team{{Name: "small", Share: 0.25}, {Name: "large", Share: 0.5}})
	return a
}

func TestAdmitterKeepsShares(t *testing.T) {
	a := newTestAdmitter(40)
	large := 0
	for a.Admit("large", false) {
		large++
	}
	if large != 30 {
		t.Errorf("the large team got %d of 40 places, want 30 with 10 guaranteed to the small team", large)
	}
	small := 0
	for a.Admit("small", false) {
		small++
	}
	if small != 10 {
		t.Errorf("the small team got %d places, want the 10 guaranteed to it", small)
	}
	if a.Admit("unknown", false) {
		t.Error("a request of a team without a share was admitted beyond the limit")
	}
	urgent := 0
	for a.Admit("large", true) {
		urgent++
	}
	if urgent != 10 {
		t.Errorf("urgent searches got %d places beyond the limit, want 10, a quarter of it", urgent)
	}
	a.Release("large")
	if limit, underway := a.Limit(); limit != 40 || underway != 49 {
		t.Errorf("limit is %.0f with %d requests under way, want 40 with 49", limit, underway)
	}
}

func TestAdmitterAdapts(t *testing.T) {
	a := newTestAdmitter(64)
	now := epoch
	for range 64 {
		a.Admit("large", false)
	}
	for range 50 {
		now = now.Add(AdjustInterval)
		a.Observe(now, 100, 50)
	}
	if low, _ := a.Limit(); low != MinConcurrency {
		t.Errorf("limit is %.0f after 5 s of shedding, want MinConcurrency", low)
	}
	for range 50 {
		now = now.Add(AdjustInterval)
		a.Observe(now, 100, 0)
	}
	if high, _ := a.Limit(); high < 32 {
		t.Errorf("limit is %.0f after 5 s without shedding, want at least 32", high)
	}
	a.Observe(now.Add(AdjustInterval), MinSamples-1, MinSamples-1)
	if l, _ := a.Limit(); l < 32 {
		t.Error("the limit was lowered after too few samples")
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := newTestAdmitter(1000)
	for b.Loop() {
		if a.Admit("small", false) {
			a.Release("small")
		}
	}
}
