package faker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

const (
	drainLimit = 2 * time.Second
	awaitPoll  = 50 * time.Millisecond
)

// verbExpect compares a figure with a bound: expect NAME OP VALUE, with OP one of is, not, below, above, at-most, at-least.
func verbExpect(s *Stage, words []string, o Options) error {
	if len(words) != 3 {
		return errors.New("expect NAME OP VALUE")
	}
	got, note, err := s.figure(words[0], o)
	if err != nil {
		return err
	}
	want, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return err
	}
	if !compare(got, words[1], want) {
		return errors.Errorf("%s is %g, not %s %g %s", words[0], got, words[1], want, note)
	}
	return nil
}

func compare(a float64, op string, b float64) bool {
	switch op {
	case "is":
		return a == b
	case "not":
		return a != b
	case "below":
		return a < b
	case "above":
		return a > b
	case "at-most":
		return a <= b
	case "at-least":
		return a >= b
	}
	return false
}

// figure returns a named figure of what callers saw and searchers recorded.
func (s *Stage) figure(name string, o Options) (float64, string, error) {
	t := s.traffic.read()
	if kind, ok := strings.CutPrefix(name, "refused:"); ok {
		return float64(t.Refused[refuser.Kind(kind)]), "", nil
	}
	switch name {
	case "complete":
		return float64(t.Complete), "", nil
	case "partial":
		return float64(t.Partial), s.explain(t.Last), nil
	case "errors":
		return float64(t.Errors), "", nil
	case "complete-share":
		return float64(t.Complete) / float64(max(1, t.Complete+t.Partial)), s.explain(t.Last), nil
	case "refused":
		n := 0
		for _, c := range t.Refused {
			n += c
		}
		return float64(n), fmt.Sprint(t.Refused), nil
	case "faults":
		return float64(len(t.Faults)), strings.Join(t.Faults, "; "), nil
	case "extra-load":
		return float64(t.Attempts)/float64(max(1, t.Needed)) - 1, "", nil
	case "slowest-ms":
		return float64(t.Slowest.Milliseconds()), "", nil
	}
	return s.recorded(name, o)
}

// explain returns the time line of a request over all VMs, for a scenario that fails.
func (s *Stage) explain(id modeler.RequestID) string {
	if id == "" {
		return ""
	}
	var lines [][]recorder.Event
	for _, m := range s.machines() {
		if page, err := s.client.Timeline(s.ctx, m.settings.Listen.Operators, 0, id); err == nil {
			lines = append(lines, page.Events)
		}
	}
	var b strings.Builder
	for _, e := range recorder.Merge(lines...) {
		text, _ := json.Marshal(e)
		b.WriteString("\n" + string(text))
	}
	return b.String()
}

func (s *Stage) recorded(name string, o Options) (float64, string, error) {
	text := o.Text("text", "poison")
	switch name {
	case "booking-faults":
		s.orders.mu.Lock()
		defer s.orders.mu.Unlock()
		return float64(len(s.orders.Faults)), strings.Join(s.orders.Faults, "; "), nil
	case "bookings-done", "bookings-unknown", "booking-errors", "bookings-refused":
		return float64(s.orders.counted(name)), "", nil
	case "runs":
		return float64(s.runsOf(s.path)), "", nil
	case "late-drain-runs":
		return float64(len(s.world.Record.Runs(func(r Run) bool { return r.Draining > drainLimit }))), "", nil
	case "second-replicas":
		n, note := s.secondReplicas(text)
		return float64(n), note, nil
	case "late-poison-runs":
		return float64(s.latePoisonRuns(text)), "", nil
	case "crashed":
		n := 0
		for _, x := range s.world.Searchers {
			n += x.Crashes()
		}
		return float64(n), "", nil
	case "connections-over":
		return float64(s.connectionsOver()), "", nil
	case "platform-calls":
		return float64(s.world.Platform.Calls()), "", nil
	case "quarantined":
		return s.quarantined()
	}
	return 0, "", errors.Errorf("there is no figure %q", name)
}

func (b *Bookings) counted(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch name {
	case "bookings-done":
		return b.done
	case "bookings-unknown":
		return b.unknown
	case "bookings-refused":
		return b.refused
	}
	return b.errors
}

// secondReplicas counts the shards whose request with the text ran on more than one replica.
func (s *Stage) secondReplicas(text string) (int, string) {
	ran := map[modeler.ShardName]map[modeler.SearcherName]bool{}
	for _, r := range s.world.Record.Runs(func(r Run) bool { return strings.Contains(r.Body, text) }) {
		if ran[r.Shard] == nil {
			ran[r.Shard] = map[modeler.SearcherName]bool{}
		}
		ran[r.Shard][r.Searcher] = true
	}
	n := 0
	for _, searchers := range ran {
		if len(searchers) > 1 {
			n++
		}
	}
	return n, fmt.Sprint(ran)
}

// latePoisonRuns counts the runs of requests with the text later than a second after the first.
func (s *Stage) latePoisonRuns(text string) int {
	runs := s.world.Record.Runs(func(r Run) bool { return strings.Contains(r.Body, text) })
	if len(runs) == 0 {
		return 0
	}
	first := slices.MinFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) }).At
	n := 0
	for _, r := range runs {
		if r.At.Sub(first) > time.Second {
			n++
		}
	}
	return n
}

// connectionsOver counts the searchers that ever had more connections than they publish, or refused one.
func (s *Stage) connectionsOver() int {
	n := 0
	for _, x := range s.world.Searchers {
		most, refused := x.Connections()
		if refused > 0 || most > x.Service.Contract.Connections {
			n++
		}
	}
	return n
}

// quarantined returns the most quarantined requests that any VM names.
func (s *Stage) quarantined() (float64, string, error) {
	most := 0
	for _, m := range s.machines() {
		b, err := s.client.Read(s.ctx, m.settings.Listen.Operators, "/admin/v1/quarantine")
		if err != nil {
			return 0, "", err
		}
		var list []server.QuarantineState
		if err := json.Unmarshal(b, &list); err != nil {
			return 0, "", err
		}
		most = max(most, len(list))
	}
	return float64(most), "", nil
}

func (s *Stage) machines() map[int]*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[int]*machine{}
	for n, m := range s.vms {
		out[n] = m
	}
	return out
}

// verbAwait waits until every VM named has reached a state: await configuration|members|refused N... limit=7s.
func verbAwait(s *Stage, words []string, o Options) error {
	if len(words) < 2 {
		return errors.New("await configuration|members|quarantined VM...")
	}
	ns, err := numbers(words[1:])
	if err != nil {
		return err
	}
	limit := time.Now().Add(o.Duration("limit", 7*time.Second))
	for {
		late := ""
		for _, n := range ns {
			if ok, note := s.reached(words[0], n, o); !ok {
				late = fmt.Sprintf("VM %d: %s", n, note)
				break
			}
		}
		if late == "" {
			return nil
		}
		if time.Now().After(limit) {
			return errors.Errorf("%s is not reached: %s", words[0], late)
		}
		spawner.Sleep(s.ctx, awaitPoll)
	}
}

func (s *Stage) reached(what string, n int, o Options) (bool, string) {
	m, err := s.machine(n)
	if err != nil {
		return false, err.Error()
	}
	switch what {
	case "configuration", "refused":
		return s.configurationReached(m, what == "refused")
	case "members":
		return s.membersReached(m, int(o.Float("alive", float64(len(s.machines())))))
	}
	return false, "await " + what + " is no verb"
}

func (s *Stage) configurationReached(m *machine, refused bool) (bool, string) {
	b, err := s.client.Read(s.ctx, m.settings.Listen.Operators, "/admin/v1/configuration")
	if err != nil {
		return false, err.Error()
	}
	var state struct {
		Revision modeler.Revision  `json:"revision"`
		Refused  []json.RawMessage `json:"refused"`
	}
	if err := json.Unmarshal(b, &state); err != nil {
		return false, err.Error()
	}
	ok := state.Revision == s.world.Platform.Revision() && (len(state.Refused) > 0) == refused
	return ok, string(b)
}

func (s *Stage) membersReached(m *machine, alive int) (bool, string) {
	b, err := s.client.Read(s.ctx, m.settings.Listen.Operators, "/admin/v1/members")
	if err != nil {
		return false, err.Error()
	}
	var members []struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(b, &members); err != nil {
		return false, err.Error()
	}
	n := 0
	for _, x := range members {
		if x.State == gossiper.Alive.String() {
			n++
		}
	}
	return n == alive, fmt.Sprintf("%d members are alive, not %d", n, alive)
}
