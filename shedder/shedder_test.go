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
	const had = 100 * time.Millisecond
	ms := func(all ...int) []time.Duration {
		var out []time.Duration
		for _, n := range all {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	tests := []struct {
		name  string
		took  []time.Duration
		after time.Duration
		want  bool
	}{
		{"nothing known", nil, 0, false},
		{"answers without a queue", ms(10, 11, 12, 10, 14, 11, 13), 0, false},
		{"shorter links than taken for, then a queue", ms(-12, -11, 10, -12, 60, 60, 60, 60, 60, 60), 0, true},
		{"shorter links than taken for", ms(-12, 12, -12, 14, -12, 20, 22), 0, false},
		{"too few answers", ms(10, 90, 90, 90, 90), 0, false},
		{"a pause delays some", ms(10, 10, 90, 90, 90, 90, 12), 0, false},
		{"all of the latest waited", ms(10, 60, 60, 60, 60, 60, 60), 0, true},
		{"none answered in time", ms(10, 100, 100, 100, 100, 100, 100), 0, true},
		{"long ago", ms(10, 60, 60, 60, 60, 60, 60), SampleAge + time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewShedder()
			now := epoch
			for _, took := range tt.took {
				now = now.Add(20 * time.Millisecond)
				s.Observe(now, "shard", took, had)
			}
			now = now.Add(tt.after)
			if got := s.Overloaded(now, "shard"); got != tt.want {
				t.Errorf("overloaded: %v", got)
			}
			if n := len(s.LeaveOut(now, []modeler.ServiceName{"shard"}, 0)); n > 0 {
				t.Errorf("%d left out, none may be", n)
			}
		})
	}
}

func TestChanges(t *testing.T) {
	s := NewShedder()
	for i := range Samples + 1 {
		took := 80 * time.Millisecond
		if i == 0 {
			took = 10 * time.Millisecond
		}
		s.Observe(epoch, "shard", took, 100*time.Millisecond)
	}
	if c := s.Changes(epoch); len(c) != 1 || !c[0].Overloaded || c[0].Service != "shard" || c[0].Base != 10*time.Millisecond {
		t.Errorf("changes: %+v", c)
	}
	if c := s.Changes(epoch); len(c) != 0 {
		t.Errorf("told twice: %+v", c)
	}
	if c := s.Changes(epoch.Add(time.Minute)); len(c) != 1 || c[0].Overloaded {
		t.Errorf("changes after the overload: %+v", c)
	}
	s.Keep(func(modeler.ServiceName) bool { return false })
	if s.Overloaded(epoch, "shard") {
		t.Error("a service that was forgotten is overloaded")
	}
}

// Any loads: never more is left out than may be, never a service that is not overloaded, and no overloaded service is left out by all queries.
func TestLeaveOutIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShedder()
		n := rapid.IntRange(1, 12).Draw(t, "services")
		names := make([]modeler.ServiceName, n)
		for i := range names {
			names[i] = modeler.ServiceName(fmt.Sprint("shard-", i))
		}
		now := epoch
		out, asked := make([]int, n), 0
		for range rapid.IntRange(1, 60).Draw(t, "queries") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			most := rapid.IntRange(0, 3).Draw(t, "may be missing")
			left := s.LeaveOut(now, names, most)
			asked++
			if len(left) > most {
				t.Fatalf("%d services left out, %d may be", len(left), most)
			}
			seen := map[int]bool{}
			for _, i := range left {
				if !s.Overloaded(now, names[i]) || seen[i] {
					t.Fatalf("%s left out, overloaded %v, twice %v", names[i], s.Overloaded(now, names[i]), seen[i])
				}
				seen[i] = true
				out[i]++
			}
			for i := range names {
				if !seen[i] {
					s.Observe(now, names[i], time.Duration(rapid.IntRange(1, 120).Draw(t, "took"))*time.Millisecond, 100*time.Millisecond)
				}
			}
		}
		for i := range out {
			if float64(out[i]) > MostLeftOut*float64(asked)+MostDue {
				t.Fatalf("%s was left out by %d of %d queries", names[i], out[i], asked)
			}
		}
	})
}
