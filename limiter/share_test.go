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
				if s := ShareOf(connections, near, far, Candidate{Near: true, Chose: true, Rank: rank, Settled: settled}); s.Holder {
					n += s.Limit
				}
			}
			for rank := range far {
				if s := ShareOf(connections, near, far, Candidate{Chose: true, Rank: rank, Settled: settled}); s.Holder {
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
	if s := ShareOf(26, 3, 5, Candidate{Near: true}); s.Limit != 2 || !s.Holder {
		t.Errorf("one of 3 near VMs of 8: %+v", s)
	}
	if s := ShareOf(26, 3, 5, Candidate{}); s.Limit != 1 || !s.Holder {
		t.Errorf("one of 5 far VMs of 8: %+v", s)
	}
	tests := []struct {
		name   string
		vm     Candidate
		holder bool
	}{
		{"the last of 39 far VMs", Candidate{Rank: 38, Chose: true, Settled: true}, false},
		{"a settled far VM for which two incarnations of the near leave room", Candidate{Rank: 15, Chose: true, Settled: true}, true},
		{"a far VM that has just started", Candidate{Rank: 0, Chose: true}, false},
		{"a far VM that chose another searcher", Candidate{Rank: 0, Settled: true}, false},
	}
	for _, tt := range tests {
		if s := ShareOf(62, 20, 39, tt.vm); s.Holder != tt.holder {
			t.Errorf("%s: %+v", tt.name, s)
		}
	}
}

// The load: a service has no searcher in the regions of some VMs, and all of its VMs use their shares of one.
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
			t.Fatalf("some VMs take shares of a thin service, others do not: %+v %+v %+v", n, f, r)
		}
		if all := near*n.Limit + far*f.Limit + remote*r.Limit; all > connections {
			t.Fatalf("%d connections, %d published", all, connections)
		}
		if r.Limit < n.Limit && r.Limit < f.Limit {
			t.Fatalf("a remote VM has fewer than the others: %+v %+v %+v", n, f, r)
		}
	})
}

// The load: of a service of Stallward's three searchers one is left, near three of eight VMs. The others send 32 requests a second, each of which occupies a connection for 24 ms of link and 11 ms of work.
func TestRemoteVMsCarryTheirLoadOverAThinService(t *testing.T) {
	const (
		occupied = 35e-3 // seconds
		rate     = 32.0  // a second
	)
	s := ShareOfThin(26, 3, 0, 5, Candidate{Remote: true})
	if carried := float64(s.Limit) / occupied; carried < 2*rate {
		t.Errorf("%d connections carry %.0f requests a second, %.0f are sent: no room for a queue", s.Limit, carried, rate)
	}
	if s := ShareOfThin(26, 3, 5, 0, Candidate{}); s.Limit != 0 {
		t.Errorf("a service with searchers in all regions is not thin: %+v", s)
	}
}
