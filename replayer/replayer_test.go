package replayer

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

func load(t *testing.T, file string) Trace {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	trace, err := Parse(file, b)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) < 5 {
		t.Fatalf("testdata holds %d traces, want at least 5; error %v", len(files), err)
	}
	for _, f := range files {
		trace := load(t, f)
		if got := Run(trace); got != trace.Expected {
			t.Errorf("%s: replay gave %+v, the trace expects %+v", f, got, trace.Expected)
		}
	}
}

// Two of the traces must give another outcome without the rule that they test. Otherwise TestTraces could not notice
// that the rule is missing.
func TestTracesFailWithoutMechanisms(t *testing.T) {
	poison := load(t, "testdata/poison.jsonl")
	if got := Run(poison, WithHold(func(bool) bool { return false })); got.SecondReplicas == 0 {
		t.Error("poison.jsonl replayed without the hold reached no second replica, so TestTraces cannot notice a missing hold")
	}
	crossed := load(t, "testdata/crossed.jsonl")
	if got := Run(crossed, WithMatch(func(gatherer.Claim, gatherer.Claim) bool { return true })); got == crossed.Expected {
		t.Error("crossed.jsonl replayed without the match gave the expected outcome, so TestTraces cannot notice a missing match")
	}
}

func TestParse(t *testing.T) {
	for _, bad := range []string{"", "{}", `{"kind":"query-pinned"}`, `{"expect":{"answered":1}}`, "x"} {
		if _, err := Parse("f", []byte(bad)); err == nil {
			t.Errorf("Parse(%q) succeeded, want an error", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	b, err := os.ReadFile("testdata/healthy.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if t, err := Parse("f", b); err == nil {
			Run(t)
		}
	})
}
