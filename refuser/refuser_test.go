package refuser

import (
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func TestTable(t *testing.T) {
	seen := map[Kind]bool{}
	for _, r := range Rows() {
		if seen[r.Kind] {
			t.Errorf("kind %s has two rows", r.Kind)
		}
		seen[r.Kind] = true
		if r.Status < 400 || r.Status > 599 {
			t.Errorf("kind %s has status %d, want one from 400 to 599", r.Kind, r.Status)
		}
		if r.RetryAfter > 0 && !r.MayRetry {
			t.Errorf("kind %s has a retry-after but may not be retried", r.Kind)
		}
		if Lookup(r.Kind) != r {
			t.Errorf("Lookup(%q) returns another row than Rows", r.Kind)
		}
	}
	if Lookup("no such kind").Kind != Internal {
		t.Error("Lookup of an unknown kind does not return the row of Internal")
	}
}

func TestFrom(t *testing.T) {
	wrapped := errors.Wrap(New(Overloaded, "busy"), "search")
	if From(wrapped).Kind != Overloaded || From(errors.New("x")).Kind != Internal {
		t.Error("From does not return Overloaded for a wrapped refusal or Internal for another error")
	}
}

func TestDocsNameEveryKind(t *testing.T) {
	b, err := os.ReadFile("../docs/PROTOCOL.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Rows() {
		if !strings.Contains(string(b), "| `"+string(r.Kind)+"` |") {
			t.Errorf("docs/PROTOCOL.md has no table row for kind %s", r.Kind)
		}
	}
}
