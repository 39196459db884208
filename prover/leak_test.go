package prover

import (
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/pistachiogap/pistachiogap/faker"
)

// Close must end all goroutines of a scenario that ran two VMs within this process.
func TestClosedScenarioLeaksNoGoroutine(t *testing.T) {
	before := goleak.IgnoreCurrent()
	scenario := faker.NewScenario(t.Context(), "", t.TempDir(), newNetwork(), t.Logf)
	for _, line := range []string{
		"world small.jsonc", "vm inside 1-2", "vm ready 1-2", "await members 1-2", "search vm=1",
		"ticket vm=1", "use vm=2", "searcher desk-01-1 crash", "search vm=2", "vm stop 1-2",
	} {
		words := strings.Fields(line)
		args, o := faker.ParseOptions(words[1:])
		if err := faker.Verbs()[words[0]](scenario, args, o); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	scenario.Close()
	goleak.VerifyNone(t, before)
}
