package faker

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/server"
)

// drainGrace is how long after the beginning of a drain a run may start without being counted by late-drain-runs.
const drainGrace = 2 * time.Second

// recordedMetric returns the value of a metric that is not one of searches: of orders, of the runs that the searchers
// recorded, or of the state of searchers, platform and VMs.
func (s *Scenario) recordedMetric(name string, o Options) (float64, string, error) {
	text := o.Text("text", "poison")
	switch name {
	case "booking-faults":
		faults := s.orders.currentFaults()
		return float64(len(faults)), strings.Join(faults, "; "), nil
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
		return s.sumOverSearchers((*Searcher).Crashes), "", nil
	case "unwanted-requests":
		return s.sumOverSearchers((*Searcher).Unwanted), "", nil
	case "connections-over":
		return float64(s.searchersOverConnectionLimit()), "", nil
	case "platform-calls":
		return float64(s.environment.Platform.Calls()), "", nil
	case "quarantined":
		return s.maxQuarantined()
	}
	return 0, "", errors.Errorf("unknown metric %q", name)
}

// sumOverSearchers returns the sum of a count over all searchers.
func (s *Scenario) sumOverSearchers(count func(*Searcher) int) float64 {
	sum := 0
	for _, x := range s.environment.Searchers {
		sum += count(x)
	}
	return float64(sum)
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
		var list []server.QuarantineState
		if _, err := s.readState(vm, "/admin/v1/quarantine", &list); err != nil {
			return 0, "", err
		}
		longest = max(longest, len(list))
	}
	return float64(longest), "", nil
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
