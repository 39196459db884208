package prover

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiogap/pistachiogap/commander"
	"github.com/pistachiogap/pistachiogap/faker"
)

// scenarioKey is the key of a script's *faker.Scenario in the values of its testscript.Env.
type scenarioKey struct{}

var networkCount atomic.Uint32

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pistachiogap": func() { os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr)) },
	})
}

// newNetwork returns N for a loopback network 127.N.0.0/16. N counts up from one of 20 start values, which the process id
// selects. The start values are 10 apart, so test processes that run at the same time can still use the same N.
func newNetwork() uint8 {
	return uint8(30 + (os.Getpid()%20)*10 + int(networkCount.Add(1)))
}

// commands returns the verbs of the scenario language as commands of test scripts.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, verb := range faker.Verbs() {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			scenario := ts.Value(scenarioKey{}).(*faker.Scenario)
			words, o := faker.ParseOptions(args)
			if name == "world" {
				words[0] = ts.MkAbs(words[0])
			}
			err := verb(scenario, words, o)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %s succeeded, but the scenario expects it to fail", name, strings.Join(args, " "))
			case neg:
				ts.Logf("failed, as the scenario expects: %v", err)
			case err != nil:
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	return out
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commands(),
		Setup: func(e *testscript.Env) error {
			program, err := exec.LookPath("pistachiogap")
			if err != nil {
				return err
			}
			questionnaire, err := os.ReadFile("small.jsonc")
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(e.WorkDir, "small.jsonc"), questionnaire, 0o600); err != nil {
				return err
			}
			scenario := faker.NewScenario(context.Background(), program, e.WorkDir, newNetwork(), t.Logf)
			e.Values[scenarioKey{}] = scenario
			e.Defer(scenario.Close)
			return nil
		},
	})
}
