package limiter

import (
	"testing"

	"pgregory.net/rapid"
)

// All VMs of a fleet keep as many connections to one searcher open as they may. They lose power at once and start again,
// while the searcher still counts the connections from before. Both must fit the limit that it publishes.
func TestSharesOfTwoIncarnationsFitThePublishedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(20, 500).Draw(t, "connections")
		near := rapid.IntRange(0, 1100).Draw(t, "near VMs")
		far := rapid.IntRange(0, 2200).Draw(t, "far VMs")
		countHeld := func(settled bool) int {
			n := 0
			for rank := range near {
				if s := ShareOf(connections, near, far, Candidate{Near: true, Eligible: true, Rank: rank, Settled: settled}); s.Holder {
					n += s.Limit
				}
			}
			for rank := range far {
				if s := ShareOf(connections, near, far, Candidate{Eligible: true, Rank: rank, Settled: settled}); s.Holder {
					n += s.Limit
				}
			}
			return n
		}
		if before, after := countHeld(true), countHeld(false); before+after > connections {
			t.Fatalf("%d connections held before the power loss and %d after it, more than the %d published", before, after, connections)
		}
	})
}

func TestNearVMsComeFirst(t *testing.T) {
	if s := ShareOf(26, 3, 5, Candidate{Near: true}); s.Limit != 2 || !s.Holder {
		t.Errorf("share of one of 3 near VMs, with 5 far ones: %+v, want 2 connections, kept idle", s)
	}
	if s := ShareOf(26, 3, 5, Candidate{}); s.Limit != 1 || !s.Holder {
		t.Errorf("share of one of 5 far VMs, with 3 near ones: %+v, want 1 connection, kept idle", s)
	}
	tests := []struct {
		name   string
		vm     Candidate
		holder bool
	}{
		{"the last of 39 far VMs", Candidate{Rank: 38, Eligible: true, Settled: true}, false},
		{"a settled far VM within the connections that two incarnations of the near VMs leave", Candidate{Rank: 15, Eligible: true, Settled: true}, true},
		{"a far VM that has just started", Candidate{Rank: 0, Eligible: true}, false},
		{"a far VM that chose another searcher", Candidate{Rank: 0, Settled: true}, false},
	}
	for _, tt := range tests {
		if s := ShareOf(62, 20, 39, tt.vm); s.Holder != tt.holder {
			t.Errorf("%s: share is %+v, want the opposite value of Holder", tt.name, s)
		}
	}
}

// A service has no searcher in the regions of some VMs. If all VMs use their shares of one of its searchers, they must
// fit the limit that it publishes.
func TestSharesOfAThinServiceFitThePublishedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(20, 500).Draw(t, "connections")
		near := rapid.IntRange(0, 300).Draw(t, "near VMs")
		far := rapid.IntRange(0, 300).Draw(t, "far VMs")
		remote := rapid.IntRange(1, 300).Draw(t, "remote VMs")
		n := ShareOfThin(connections, near, far, remote, Candidate{Near: true})
		f := ShareOfThin(connections, near, far, remote, Candidate{})
		r := ShareOfThin(connections, near, far, remote, Candidate{Remote: true})
		if (n.Limit == 0) != (r.Limit == 0) || (n.Limit == 0) != (f.Limit == 0) {
			t.Fatalf("some VMs have a share of a thin service, others do not: near %+v, far %+v, remote %+v", n, f, r)
		}
		if total := near*n.Limit + far*f.Limit + remote*r.Limit; total > connections {
			t.Fatalf("all shares together are %d connections, more than the %d published", total, connections)
		}
		if r.Limit < n.Limit && r.Limit < f.Limit {
			t.Fatalf("a remote VM has fewer connections than any other: near %+v, far %+v, remote %+v", n, f, r)
		}
	})
}

// A service of the organisation Stallward has lost two of its three searchers. Three of eight VMs are near the
// remaining one. The other five each send 32 requests a second, each of which occupies a connection for 24 ms of
// network delay and 11 ms of work.
func TestRemoteVMsCarryTheirLoadOverAThinService(t *testing.T) {
	const (
		occupied = 35e-3 // seconds per request
		rate     = 32.0  // requests per second
	)
	s := ShareOfThin(26, 3, 0, 5, Candidate{Remote: true})
	if capacity := float64(s.Limit) / occupied; capacity < 2*rate {
		t.Errorf("%d connections carry %.0f requests per second, less than twice the %.0f that are sent: too few to work off a queue", s.Limit, capacity, rate)
	}
	if s := ShareOfThin(26, 3, 5, 0, Candidate{}); s.Limit != 0 {
		t.Errorf("ShareOfThin without remote VMs returned %+v, want no share", s)
	}
}
