package scatterer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
)

func TestMaxMissing(t *testing.T) {
	tests := []struct {
		shards        int
		leastCoverage float64
		want          int
	}{
		{10, 0.89, 1}, {10, 0.75, 2}, {15, 0.89, 1}, {36, 0.95, 1}, {42, 0.95, 2}, {42, 0.85, 6}, {10, 1, 0}, {1, 0.5, 0}, {10, 1e-9, 9},
	}
	for _, tt := range tests {
		if got := maxMissing(tt.shards, tt.leastCoverage); got != tt.want {
			t.Errorf("maxMissing of %d shards with least coverage %g returned %d, want the number in the test case", tt.shards, tt.leastCoverage, got)
		}
		if k := maxMissing(tt.shards, tt.leastCoverage); float64(tt.shards-k)/float64(tt.shards) < tt.leastCoverage {
			t.Errorf("%d shards less the %d that maxMissing returned are below the least coverage %g", tt.shards, k, tt.leastCoverage)
		}
	}
}

func TestRequestsGoWithoutTheScarcestShards(t *testing.T) {
	never, always := func() float64 { return 1 }, func() float64 { return 0 }
	tests := []struct {
		name     string
		scarcity []float64
		limit    int
		draw     func() float64
		want     []int
	}{
		{"no limits", []float64{0, 0, 0}, 2, always, nil},
		{"half used up", []float64{0.5, 0}, 2, always, nil},
		{"the scarcest first", []float64{0.7, 0, 0.9, 0.8}, 2, always, []int{2, 3}},
		{"no shard may be missing", []float64{0.9}, 0, always, []int{}},
		{"chance spares the request", []float64{0.9}, 1, never, nil},
	}
	for _, tt := range tests {
		if got := chooseScarce(tt.scarcity, tt.limit, tt.draw); !slices.Equal(got, tt.want) {
			t.Errorf("%s: left out %v, want %v", tt.name, got, tt.want)
		}
	}
}

// All searchers of two of ten shards state limits that are enough for 0.6 of the requests. Each request may miss one
// shard. Requests that go without a scarce shard must leave the others enough, so that more are answered than if each
// asked for both shards.
func TestMoreRequestsAreAnsweredWhileShardsAreScarce(t *testing.T) {
	answered := func(spare bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1_800_000_000, 0)
		quotas := make([]limiter.Quota, 2)
		for i := range quotas {
			quotas[i].Set(now, limiter.QuotaPart{Rate: 12, Burst: 12}, 0)
		}
		n := 0
		for range 20 * 60 {
			now = now.Add(50 * time.Millisecond)
			scarcity := make([]float64, 10)
			for i := range quotas {
				tokens, burst := quotas[i].Tokens(now)
				scarcity[i] = 1 - tokens/burst
			}
			var without []int
			if spare {
				without = chooseScarce(scarcity, 1, random.Float64)
			}
			missing := len(without)
			for i := range quotas {
				if !slices.Contains(without, i) && quotas[i].Wait(now, 0) > 0 {
					missing++
				}
			}
			if missing > 1 {
				continue
			}
			n++
			for i := range quotas {
				if !slices.Contains(without, i) && quotas[i].Wait(now, 0) == 0 {
					quotas[i].Take(now)
				}
			}
		}
		return n
	}
	with, greedy := answered(true), answered(false)
	if with < 1100 || greedy > with-100 {
		t.Errorf("%d of 1,200 requests are answered, and %d if none goes without a shard; want at least 1,100 and 100 more", with, greedy)
	}
}
