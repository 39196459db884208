package generator

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

func read(t *testing.T, file string) Questionnaire {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	q, err := parser.Decode[Questionnaire](file, b)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func TestExamples(t *testing.T) {
	tests := []struct {
		file                        string
		services, searchers, shards int
	}{
		{"../examples/hanbit.jsonc", 27, 85, 27},
		{"../examples/certivest.jsonc", 27, 97, 27},
	}
	for _, tt := range tests {
		c, why := Generate(read(t, tt.file))
		if p := c.Check(); len(p) > 0 {
			t.Errorf("%s generates a faulty configuration: %v", tt.file, p)
		}
		searchers := 0
		for _, s := range c.Services {
			searchers += len(s.Searchers)
		}
		if len(c.Services) != tt.services || searchers != tt.searchers || len(c.Indexes[0].Snapshots[0].Shards) != tt.shards {
			t.Errorf("%s: %d services, %d searchers", tt.file, len(c.Services), searchers)
		}
		again, _ := Generate(read(t, tt.file))
		if fmt.Sprint(c) != fmt.Sprint(again) {
			t.Errorf("%s generates differently each time", tt.file)
		}
		for _, e := range why {
			if e.From == "" || e.Reason == "" || !strings.HasPrefix(e.From, "/") {
				t.Errorf("%s is not explained", e.Value)
			}
		}
	}
}

func TestWeighingMatters(t *testing.T) {
	q := read(t, "../examples/hanbit.jsonc")
	tail, before := Generate(q)
	q.Weighing = modeler.WeighCoverage
	coverage, after := Generate(q)
	a, b := tail.Indexes[0].Policy, coverage.Indexes[0].Policy
	if a.Patience.Duration >= b.Patience.Duration || a.HedgeQuantile >= b.HedgeQuantile {
		t.Errorf("tail %+v, coverage %+v", a, b)
	}
	changes := Compare(before, after)
	if len(changes) != 2 {
		t.Errorf("changes %q", changes)
	}
	if again := Compare(after, after); len(again) != 0 {
		t.Errorf("no revision changes %q", again)
	}
}

func TestQuestionnaireFaults(t *testing.T) {
	q := read(t, "../examples/hanbit.jsonc")
	q.Weighing = "speed"
	q.Groups[0].Slots = 0
	q.Groups[1].Name = q.Groups[0].Name
	q.Indexes[0].Groups = []string{"nowhere"}
	if p := q.Check(); len(p) < 4 {
		t.Errorf("only %v were found", p)
	}
}
