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

type stageKey struct{}

var networks atomic.Uint32

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pistachiogap": func() { os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr)) },
	})
}

// network returns a loopback network of its own for each scenario.
func network() uint8 {
	return uint8(30 + (os.Getpid()%20)*10 + int(networks.Add(1)))
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, verb := range faker.Verbs() {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			stage := ts.Value(stageKey{}).(*faker.Stage)
			words, o := faker.ParseOptions(args)
			if name == "world" {
				words[0] = ts.MkAbs(words[0])
			}
			err := verb(stage, words, o)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %s holds, but the check must trip", name, strings.Join(args, " "))
			case neg:
				ts.Logf("trips as it must: %v", err)
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
			small, err := os.ReadFile("small.jsonc")
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(e.WorkDir, "small.jsonc"), small, 0o600); err != nil {
				return err
			}
			stage := faker.NewStage(context.Background(), program, e.WorkDir, network(), t.Logf)
			e.Values[stageKey{}] = stage
			e.Defer(stage.Close)
			return nil
		},
	})
}
