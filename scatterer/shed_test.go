package scatterer

import "testing"

func TestSpare(t *testing.T) {
	tests := []struct {
		shards int
		least  float64
		want   int
	}{
		{10, 0.89, 1}, {10, 0.75, 2}, {15, 0.89, 1}, {36, 0.95, 1}, {42, 0.95, 2}, {42, 0.85, 6}, {10, 1, 0}, {1, 0.5, 0}, {10, 1e-9, 9},
	}
	for _, tt := range tests {
		if got := spare(tt.shards, tt.least); got != tt.want {
			t.Errorf("%d shards, at least %g of them: %d may be missing", tt.shards, tt.least, got)
		}
		if k := spare(tt.shards, tt.least); float64(tt.shards-k)/float64(tt.shards) < tt.least {
			t.Errorf("%d shards less %d are below %g", tt.shards, k, tt.least)
		}
	}
}
