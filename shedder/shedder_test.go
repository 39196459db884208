package shedder

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func TestOverloaded(t *testing.T) {
	const limit = 100 * time.Millisecond
	ms := func(all ...int) []time.Duration {
		var out []time.Duration
		for _, n := range all {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	tests := []struct {
		name      string
		latencies []time.Duration
		delay     time.Duration // from the last answer to the check
		want      bool
	}{
		{"no answers", nil, 0, false},
		{"answers without a queue", ms(10, 11, 12, 10, 14, 11, 13), 0, false},
		{"round trip shorter than assumed, then a queue", ms(-12, -11, 10, -12, 60, 60, 60, 60, 60, 60), 0, true},
		{"round trip shorter than assumed", ms(-12, 12, -12, 14, -12, 20, 22), 0, false},
		{"too few answers", ms(10, 90, 90, 90, 90), 0, false},
		{"some answers delayed by a pause", ms(10, 10, 90, 90, 90, 90, 12), 0, false},
		{"all latest answers queued", ms(10, 60, 60, 60, 60, 60, 60), 0, true},
		{"no answer in time", ms(10, 100, 100, 100, 100, 100, 100), 0, true},
		{"all answers too old", ms(10, 60, 60, 60, 60, 60, 60), MaxSampleAge + time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewShedder()
			now := epoch
			for _, latency := range tt.latencies {
				now = now.Add(20 * time.Millisecond)
				s.Observe(now, "shard", latency, limit)
			}
			now = now.Add(tt.delay)
			if got := s.Overloaded(now, "shard"); got != tt.want {
				t.Errorf("Overloaded returned %v, want the opposite", got)
			}
			if n := len(s.LeaveOut(now, []modeler.ServiceName{"shard"}, 0)); n > 0 {
				t.Errorf("LeaveOut with limit 0 returned %d services, want 0", n)
			}
		})
	}
}

func TestChanges(t *testing.T) {
	s := NewShedder()
	for i := range SampleCount + 1 {
		latency := 80 * time.Millisecond
		if i == 0 {
			latency = 10 * time.Millisecond
		}
		s.Observe(epoch, "shard", latency, 100*time.Millisecond)
	}
	if c := s.Changes(epoch); len(c) != 1 || !c[0].Overloaded || c[0].Service != "shard" || c[0].Base != 10*time.Millisecond {
		t.Errorf("changes are %+v, want one, to overloaded with a base of 10 ms", c)
	}
	if c := s.Changes(epoch); len(c) != 0 {
		t.Errorf("the second call of Changes returned %+v, want nothing new", c)
	}
	if c := s.Changes(epoch.Add(time.Minute)); len(c) != 1 || c[0].Overloaded {
		t.Errorf("changes after the overload are %+v, want one, to not overloaded", c)
	}
	s.Keep(func(modeler.ServiceName) bool { return false })
	if s.Overloaded(epoch, "shard") {
		t.Error("a service is overloaded although Keep dropped its state")
	}
}

// Under any load, a query leaves out at most as many services as it may, and only overloaded ones. No service is left
// out by all queries, so that trials can detect the end of an overload.
func TestLeaveOutIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShedder()
		n := rapid.IntRange(1, 12).Draw(t, "services")
		names := make([]modeler.ServiceName, n)
		for i := range names {
			names[i] = modeler.ServiceName(fmt.Sprint("shard-", i))
		}
		now := epoch
		leftOut, queries := make([]int, n), 0
		for range rapid.IntRange(1, 60).Draw(t, "queries") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms to the query")) * time.Millisecond)
			limit := rapid.IntRange(0, 3).Draw(t, "limit of services left out")
			positions := s.LeaveOut(now, names, limit)
			queries++
			if len(positions) > limit {
				t.Fatalf("a query left out %d services, the limit is %d", len(positions), limit)
			}
			seen := map[int]bool{}
			for _, i := range positions {
				if !s.Overloaded(now, names[i]) || seen[i] {
					t.Fatalf("a query left out %s (overloaded: %v, left out twice: %v)", names[i], s.Overloaded(now, names[i]), seen[i])
				}
				seen[i] = true
				leftOut[i]++
			}
			for i := range names {
				if !seen[i] {
					s.Observe(now, names[i], time.Duration(rapid.IntRange(1, 120).Draw(t, "latency"))*time.Millisecond, 100*time.Millisecond)
				}
			}
		}
		for i := range leftOut {
			if float64(leftOut[i]) > MaxLeftOut*float64(queries)+MaxCredit {
				t.Fatalf("%s was left out by %d of %d queries, too many of them", names[i], leftOut[i], queries)
			}
		}
	})
}
