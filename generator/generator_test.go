package generator

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

func readQuestionnaire(t *testing.T, file string) Questionnaire {
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
		c, explanations := Generate(readQuestionnaire(t, tt.file))
		if p := c.Check(); len(p) > 0 {
			t.Errorf("%s: the generated configuration has problems: %v", tt.file, p)
		}
		searchers := 0
		for _, s := range c.Services {
			searchers += len(s.Searchers)
		}
		if len(c.Services) != tt.services || searchers != tt.searchers || len(c.Indexes[0].Snapshots[0].Shards) != tt.shards {
			t.Errorf("%s: %d services and %d searchers; one of these numbers, or that of the shards of the first index, is not the one in the test case", tt.file, len(c.Services), searchers)
		}
		again, _ := Generate(readQuestionnaire(t, tt.file))
		if fmt.Sprint(c) != fmt.Sprint(again) {
			t.Errorf("%s: the same questionnaire gave two different configurations", tt.file)
		}
		for _, e := range explanations {
			if e.Source == "" || e.Reason == "" || !strings.HasPrefix(e.Source, "/") {
				t.Errorf("%s: explanation lacks the pointer to an answer, or a reason", e.Pointer)
			}
		}
	}
}

func TestWeighingChangesPolicy(t *testing.T) {
	q := readQuestionnaire(t, "../examples/hanbit.jsonc")
	tail, tailExplanations := Generate(q)
	q.Weighing = modeler.WeighingCoverage
	coverage, coverageExplanations := Generate(q)
	a, b := tail.Indexes[0].Policy, coverage.Indexes[0].Policy
	if a.Patience.Duration >= b.Patience.Duration || a.HedgeQuantile >= b.HedgeQuantile {
		t.Errorf("patience and hedge quantile must be less for tail latency: tail latency %+v, coverage %+v", a, b)
	}
	changes := Compare(tailExplanations, coverageExplanations)
	if len(changes) != 2 {
		t.Errorf("changes %q, want two", changes)
	}
	if again := Compare(coverageExplanations, coverageExplanations); len(again) != 0 {
		t.Errorf("comparing equal explanations: changes %q, want none", again)
	}
}

func TestQuestionnaireFaults(t *testing.T) {
	q := readQuestionnaire(t, "../examples/hanbit.jsonc")
	q.Weighing = "speed"
	q.Groups[0].Slots = 0
	q.Groups[1].Name = q.Groups[0].Name
	q.Indexes[0].Groups = []string{"nowhere"}
	if p := q.Check(); len(p) < 4 {
		t.Errorf("problems %v, want at least 4", p)
	}
}
