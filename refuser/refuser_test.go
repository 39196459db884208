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
			t.Errorf("%s stands twice", r.Kind)
		}
		seen[r.Kind] = true
		if r.Status < 400 || r.Status > 599 {
			t.Errorf("%s has status %d", r.Kind, r.Status)
		}
		if r.RetryAfter > 0 && !r.MayRetry {
			t.Errorf("%s has a time to retry and may not", r.Kind)
		}
		if Lookup(r.Kind) != r {
			t.Errorf("%s is looked up as another row", r.Kind)
		}
	}
	if Lookup("no such kind").Kind != Internal {
		t.Error("an unknown kind must be internal")
	}
}

func TestFrom(t *testing.T) {
	wrapped := errors.Wrap(New(Overloaded, "busy"), "search")
	if From(wrapped).Kind != Overloaded || From(errors.New("x")).Kind != Internal {
		t.Error("the kind of an error is lost")
	}
}

func TestDocsNameEveryKind(t *testing.T) {
	b, err := os.ReadFile("../docs/PROTOCOL.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Rows() {
		if !strings.Contains(string(b), "| `"+string(r.Kind)+"` |") {
			t.Errorf("docs/PROTOCOL.md does not name %s", r.Kind)
		}
	}
}
