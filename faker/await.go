package faker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
)

const awaitPollInterval = 50 * time.Millisecond

// verbAwait waits until every named VM has reached a state: await configuration|refused|members VM... limit=7s. The
// states are:
//   - configuration: the newest revision is in force, and no value of it was refused
//   - refused: the newest revision is in force, and a value of it was refused
//   - members: the VM sees as many alive members as the option alive says, by default as many as VMs are running
func verbAwait(s *Scenario, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("usage: await configuration|refused|members VM...")
	}
	numbers, err := parseVMNumbers(words[1:])
	if err != nil {
		return err
	}
	deadline := time.Now().Add(o.Duration("limit", 7*time.Second))
	for {
		pending := ""
		for _, n := range numbers {
			if ok, note := s.stateReached(words[0], n, o); !ok {
				pending = fmt.Sprintf("VM %d: %s", n, note)
				break
			}
		}
		if pending == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("await %s timed out: %s", words[0], pending)
		}
		spawner.Sleep(s.ctx, awaitPollInterval)
	}
}

func (s *Scenario) stateReached(state string, n int, o Options) (bool, string) {
	vm, err := s.runningVM(n)
	if err != nil {
		return false, err.Error()
	}
	switch state {
	case "configuration", "refused":
		return s.configurationReached(vm, state == "refused")
	case "members":
		return s.membersReached(vm, int(o.Float("alive", float64(len(s.runningVMs())))))
	}
	return false, "unknown state " + state + ", want configuration, refused or members"
}

func (s *Scenario) configurationReached(vm *scenarioVM, refused bool) (bool, string) {
	var state struct {
		Revision modeler.Revision  `json:"revision"`
		Refused  []json.RawMessage `json:"refused"`
	}
	text, err := s.readState(vm, "/admin/v1/configuration", &state)
	if err != nil {
		return false, err.Error()
	}
	ok := state.Revision == s.environment.Platform.Revision() && (len(state.Refused) > 0) == refused
	return ok, text
}

func (s *Scenario) membersReached(vm *scenarioVM, alive int) (bool, string) {
	var members []struct {
		State string `json:"state"`
	}
	if _, err := s.readState(vm, "/admin/v1/members", &members); err != nil {
		return false, err.Error()
	}
	count := 0
	for _, x := range members {
		if x.State == gossiper.Alive.String() {
			count++
		}
	}
	return count == alive, fmt.Sprintf("%d members are alive, want %d", count, alive)
}

// readState decodes what the VM shows its operators at a path, and returns the text of it.
func (s *Scenario) readState(vm *scenarioVM, path string, state any) (string, error) {
	b, err := s.client.Read(s.ctx, vm.settings.Listen.Operators, path)
	if err != nil {
		return "", err
	}
	return string(b), json.Unmarshal(b, state)
}
