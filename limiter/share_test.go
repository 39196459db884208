package limiter

import (
	"testing"

	"pgregory.net/rapid"
)

// The load: every VM of a fleet keeps as many connections to one searcher open as it may, all lose power and start again, and the searcher still counts those from before.
func TestSharesOfTwoIncarnationsFitThePublishedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(20, 500).Draw(t, "connections")
		near := rapid.IntRange(0, 1100).Draw(t, "near VMs")
		far := rapid.IntRange(0, 2200).Draw(t, "far VMs")
		held := func(settled bool) int {
			n := 0
			for rank := range near {
				if s := ShareOf(connections, near, far, Contender{Near: true, Chose: true, Rank: rank, Settled: settled}); s.Holder {
					n += s.Limit
				}
			}
			for rank := range far {
				if s := ShareOf(connections, near, far, Contender{Chose: true, Rank: rank, Settled: settled}); s.Holder {
					n += s.Limit
				}
			}
			return n
		}
		if before, after := held(true), held(false); before+after > connections {
			t.Fatalf("%d connections held before and %d after the loss of power, %d published", before, after, connections)
		}
	})
}

func TestNearVMsComeFirst(t *testing.T) {
	if s := ShareOf(26, 3, 5, Contender{Near: true}); s.Limit != 2 || !s.Holder {
		t.Errorf("one of 3 near VMs of 8: %+v", s)
	}
	if s := ShareOf(26, 3, 5, Contender{}); s.Limit != 1 || !s.Holder {
		t.Errorf("one of 5 far VMs of 8: %+v", s)
	}
	tests := []struct {
		name   string
		vm     Contender
		holder bool
	}{
		{"the last of 39 far VMs", Contender{Rank: 38, Chose: true, Settled: true}, false},
		{"a settled far VM for which two incarnations of the near leave room", Contender{Rank: 15, Chose: true, Settled: true}, true},
		{"a far VM that has just started", Contender{Rank: 0, Chose: true}, false},
		{"a far VM that chose another searcher", Contender{Rank: 0, Settled: true}, false},
	}
	for _, tt := range tests {
		if s := ShareOf(62, 20, 39, tt.vm); s.Holder != tt.holder {
			t.Errorf("%s: %+v", tt.name, s)
		}
	}
}
