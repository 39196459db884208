package limiter

import (
	"testing"

	"pgregory.net/rapid"
)

// The load: every VM of a fleet keeps as many connections to one searcher open as it may, all lose power and start again, and the searcher still counts those from before.
func TestSharesOfTwoLivesFitThePublishedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(20, 500).Draw(t, "connections")
		near := rapid.IntRange(0, 1100).Draw(t, "near VMs")
		far := rapid.IntRange(0, 2200).Draw(t, "far VMs")
		held := 0
		for rank := range near {
			if s := ShareOf(connections, near, far, true, rank); s.Holder {
				held += s.Limit
			}
		}
		for rank := range far {
			if s := ShareOf(connections, near, far, false, rank); s.Holder {
				held += s.Limit
			}
		}
		if 2*held > connections {
			t.Fatalf("%d connections held in each life, %d published", held, connections)
		}
	})
}

func TestNearVMsComeFirst(t *testing.T) {
	if s := ShareOf(26, 3, 5, true, 0); s.Limit != 2 || !s.Holder {
		t.Errorf("one of 3 near VMs of 8: %+v", s)
	}
	if s := ShareOf(26, 3, 5, false, 0); s.Limit != 1 || !s.Holder {
		t.Errorf("one of 5 far VMs of 8: %+v", s)
	}
	if s := ShareOf(62, 20, 39, false, 38); s.Holder {
		t.Errorf("the last of 39 far VMs holds connections: %+v", s)
	}
}
