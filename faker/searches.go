package faker

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/server"
)

// SearchStats counts the results of the searches of a scenario.
type SearchStats struct {
	Complete    int
	Partial     int
	Refused     map[refuser.Kind]int
	Errors      int // neither an answer nor a refusal
	Attempts    int // attempts made for all answers
	ShardsTotal int // shards of all answers; each takes one attempt if there are no extra attempts
	MaxLatency  time.Duration
	Faults      []string          // what CheckAnswer found wrong; not the injected faults
	LastPartial modeler.RequestID // the request of the last partial answer
}

// SearchTraffic sends searches to the VMs of a scenario and checks every answer.
type SearchTraffic struct {
	scenario *Scenario
	mu       sync.Mutex
	stats    SearchStats
	loops    callerLoops
}

func newSearchTraffic(s *Scenario) *SearchTraffic {
	return &SearchTraffic{scenario: s, stats: SearchStats{Refused: map[refuser.Kind]int{}}}
}

// start starts callers, each of which sends one search after another to random VMs.
func (t *SearchTraffic) start(o Options) {
	callers, pause := int(o.Float("callers", 4)), o.Duration("pause", 5*time.Millisecond)
	t.loops.start(t.scenario.ctx, callers, pause, func(ctx context.Context, caller, n int) {
		if vm := t.scenario.randomVM(); vm.IsValid() {
			t.send(ctx, vm, o, fmt.Sprintf("caller %d search %d", caller, n))
		}
	})
}

// send sends a search and checks its answer. It returns "" for an answer, the kind of a refusal, or "error".
func (t *SearchTraffic) send(ctx context.Context, vm netip.AddrPort, o Options, text string) refuser.Kind {
	index := modeler.IndexName(o.Text("index", "cover"))
	start := time.Now()
	a, err := t.scenario.client.Search(context.WithoutCancel(ctx), vm, index, server.Query{Text: text}, modeler.RequestID(o.Text("id", "")), o.Duration("deadline", 2*time.Second))
	took := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.MaxLatency = max(t.stats.MaxLatency, took)
	var refused *caller.RefusalError
	switch {
	case errors.As(err, &refused):
		t.stats.Refused[refused.Kind]++
		return refused.Kind
	case err != nil:
		t.stats.Errors++
		t.scenario.Logf("search through %s failed: %v", vm, err)
		return "error"
	}
	if a.Complete {
		t.stats.Complete++
	} else {
		t.stats.Partial++
		t.stats.LastPartial = a.Request
	}
	t.stats.Attempts += a.Attempts
	t.stats.ShardsTotal += a.Coverage.ShardsTotal
	for _, f := range CheckAnswer(t.scenario.configurationWith(a.Snapshot), index, text, a) {
		if len(t.stats.Faults) < maxFaults {
			t.stats.Faults = append(t.stats.Faults, f)
		}
	}
	return ""
}

func (t *SearchTraffic) currentStats() SearchStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

func (t *SearchTraffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats = SearchStats{Refused: map[refuser.Kind]int{}}
}
