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
	// late-drain-runs counts the runs that start later than drainGrace after their searcher began to drain.
	drainGrace        = 2 * time.Second
	awaitPollInterval = 50 * time.Millisecond
)

// verbExpect compares a metric with a value: expect METRIC OP VALUE, with OP one of is, not, below, above, at-most,
// at-least.
func verbExpect(s *Scenario, words []string, o Options) error {
	if len(words) != 3 {
		return errors.New("usage: expect METRIC OP VALUE")
	}
	got, note, err := s.metric(words[0], o)
	if err != nil {
		return err
	}
	want, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return err
	}
	if !compare(got, words[1], want) {
		return errors.Errorf("%s: got %g, want %s %g %s", words[0], got, words[1], want, note)
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

// metric returns the value of a metric, and a note for the message of a failed check. It handles the metrics of
// searches; recordedMetric handles the others.
func (s *Scenario) metric(name string, o Options) (float64, string, error) {
	stats := s.searches.currentStats()
	if kind, ok := strings.CutPrefix(name, "refused:"); ok {
		return float64(stats.Refused[refuser.Kind(kind)]), "", nil
	}
	switch name {
	case "complete":
		return float64(stats.Complete), "", nil
	case "partial":
		return float64(stats.Partial), s.timelineText(stats.LastPartial), nil
	case "errors":
		return float64(stats.Errors), "", nil
	case "complete-share":
		return float64(stats.Complete) / float64(max(1, stats.Complete+stats.Partial)), s.timelineText(stats.LastPartial), nil
	case "refused":
		count := 0
		for _, c := range stats.Refused {
			count += c
		}
		return float64(count), fmt.Sprint(stats.Refused), nil
	case "faults":
		return float64(len(stats.Faults)), strings.Join(stats.Faults, "; "), nil
	case "extra-load":
		return float64(stats.Attempts)/float64(max(1, stats.ShardsTotal)) - 1, "", nil
	case "slowest-ms":
		return float64(stats.MaxLatency.Milliseconds()), "", nil
	}
	return s.recordedMetric(name, o)
}

// timelineText returns the merged time lines of a request from all VMs, one JSON event per line.
func (s *Scenario) timelineText(id modeler.RequestID) string {
	if id == "" {
		return ""
	}
	var timelines [][]recorder.Event
	for _, vm := range s.runningVMs() {
		if page, err := s.client.Timeline(s.ctx, vm.settings.Listen.Operators, 0, id); err == nil {
			timelines = append(timelines, page.Events)
		}
	}
	var b strings.Builder
	for _, e := range recorder.Merge(timelines...) {
		text, _ := json.Marshal(e)
		b.WriteString("\n" + string(text))
	}
	return b.String()
}

// recordedMetric returns the value of a metric that is not one of searches: of orders, of the runs that the searchers
// recorded, or of the state of searchers, platform and VMs.
func (s *Scenario) recordedMetric(name string, o Options) (float64, string, error) {
	text := o.Text("text", "poison")
	switch name {
	case "booking-faults":
		s.orders.mu.Lock()
		defer s.orders.mu.Unlock()
		return float64(len(s.orders.Faults)), strings.Join(s.orders.Faults, "; "), nil
	case "bookings-done", "bookings-unknown", "booking-errors", "bookings-refused":
		return float64(s.orders.counter(name)), "", nil
	case "runs":
		return float64(s.countRuns(s.ticketPath)), "", nil
	case "late-drain-runs":
		return float64(len(s.environment.Record.Runs(func(r Run) bool { return r.DrainingFor > drainGrace }))), "", nil
	case "second-replicas":
		n, note := s.shardsRunOnTwoReplicas(text)
		return float64(n), note, nil
	case "late-poison-runs":
		return float64(s.latePoisonRuns(text)), "", nil
	case "crashed":
		n := 0
		for _, x := range s.environment.Searchers {
			n += x.Crashes()
		}
		return float64(n), "", nil
	case "unwanted-requests":
		n := 0
		for _, x := range s.environment.Searchers {
			n += x.Unwanted()
		}
		return float64(n), "", nil
	case "connections-over":
		return float64(s.searchersOverConnectionLimit()), "", nil
	case "platform-calls":
		return float64(s.environment.Platform.Calls()), "", nil
	case "quarantined":
		return s.maxQuarantined()
	}
	return 0, "", errors.Errorf("unknown metric %q", name)
}

func (t *OrderTraffic) counter(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch name {
	case "bookings-done":
		return t.done
	case "bookings-unknown":
		return t.unknown
	case "bookings-refused":
		return t.refused
	}
	return t.errors
}

// shardsRunOnTwoReplicas counts the shards on which requests with the text ran on more than one replica.
func (s *Scenario) shardsRunOnTwoReplicas(text string) (int, string) {
	ran := map[modeler.ShardName]map[modeler.SearcherName]bool{}
	for _, r := range s.environment.Record.Runs(func(r Run) bool { return strings.Contains(r.Body, text) }) {
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

// latePoisonRuns counts the runs of requests with the text that started more than a second after the first such run.
// By then the tier must have quarantined the request.
func (s *Scenario) latePoisonRuns(text string) int {
	runs := s.environment.Record.Runs(func(r Run) bool { return strings.Contains(r.Body, text) })
	if len(runs) == 0 {
		return 0
	}
	first := slices.MinFunc(runs, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) }).StartedAt
	n := 0
	for _, r := range runs {
		if r.StartedAt.Sub(first) > time.Second {
			n++
		}
	}
	return n
}

// searchersOverConnectionLimit counts the searchers that refused a connection, or had more connections open at once
// than their contract allows.
func (s *Scenario) searchersOverConnectionLimit() int {
	n := 0
	for _, x := range s.environment.Searchers {
		peak, refused := x.Connections()
		if refused > 0 || peak > x.Service.Contract.Connections {
			n++
		}
	}
	return n
}

// maxQuarantined returns the length of the longest quarantine list among the VMs.
func (s *Scenario) maxQuarantined() (float64, string, error) {
	longest := 0
	for _, vm := range s.runningVMs() {
		b, err := s.client.Read(s.ctx, vm.settings.Listen.Operators, "/admin/v1/quarantine")
		if err != nil {
			return 0, "", err
		}
		var list []server.QuarantineState
		if err := json.Unmarshal(b, &list); err != nil {
			return 0, "", err
		}
		longest = max(longest, len(list))
	}
	return float64(longest), "", nil
}

// runningVMs returns a copy of s.vms, the running VMs by number.
func (s *Scenario) runningVMs() map[int]*scenarioVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[int]*scenarioVM{}
	for n, vm := range s.vms {
		out[n] = vm
	}
	return out
}

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
	b, err := s.client.Read(s.ctx, vm.settings.Listen.Operators, "/admin/v1/configuration")
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
	ok := state.Revision == s.environment.Platform.Revision() && (len(state.Refused) > 0) == refused
	return ok, string(b)
}

func (s *Scenario) membersReached(vm *scenarioVM, alive int) (bool, string) {
	b, err := s.client.Read(s.ctx, vm.settings.Listen.Operators, "/admin/v1/members")
	if err != nil {
		return false, err.Error()
	}
	var members []struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(b, &members); err != nil {
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
