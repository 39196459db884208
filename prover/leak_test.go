package prover

import (
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/pistachiogap/pistachiogap/faker"
)

// After a scenario with two VMs within this process, closing the stage must end all its goroutines.
func TestStageLeaksNoGoroutine(t *testing.T) {
	before := goleak.IgnoreCurrent()
	stage := faker.NewScenario(t.Context(), "", t.TempDir(), newNetwork(), t.Logf)
	for _, line := range []string{
		"world small.jsonc", "vm inside 1-2", "vm ready 1-2", "await members 1-2", "search vm=1",
		"ticket vm=1", "use vm=2", "searcher desk-01-1 crash", "search vm=2", "vm stop 1-2",
	} {
		words := strings.Fields(line)
		args, o := faker.ParseOptions(words[1:])
		if err := faker.Verbs()[words[0]](stage, args, o); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	stage.Close()
	goleak.VerifyNone(t, before)
}
