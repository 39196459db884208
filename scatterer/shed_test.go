package scatterer

import "testing"

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
