package faker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// OrderTraffic sends each order several times through random VMs of a scenario and checks that the answers agree with how
// often the searchers ran the order. Each use of a ticket counts once in its counters.
type OrderTraffic struct {
	scenario *Scenario
	mu       sync.Mutex
	done     int      // answered
	unknown  int      // refused with an unknown outcome
	refused  int      // refused as certainly not run
	errors   int      // no ticket was issued, or a use got neither an answer nor a refusal
	Faults   []string // wrong answers, found by sendTicket
	loops    callerLoops
}

func newOrderTraffic(s *Scenario) *OrderTraffic { return &OrderTraffic{scenario: s} }

// start starts callers, each of which sends one order after another.
func (t *OrderTraffic) start(o Options) {
	callers, pause := int(o.Float("callers", 2)), o.Duration("pause", 10*time.Millisecond)
	t.loops.start(t.scenario.ctx, callers, pause, func(ctx context.Context, caller, n int) {
		t.sendOrder(context.WithoutCancel(ctx), o, fmt.Sprintf("booking %d of caller %d", n, caller))
	})
}

// sendOrder gets a ticket from a random VM and uses it three times, each time through a random VM.
func (t *OrderTraffic) sendOrder(ctx context.Context, o Options, text string) {
	service := modeler.ServiceName(o.Text("service", "desk-01"))
	budget := o.Duration("deadline", 2*time.Second)
	body := map[string]string{"book": text}
	path, err := t.scenario.client.TicketPath(ctx, t.scenario.randomVM(), service, body, budget)
	if err != nil {
		t.countError()
		return
	}
	for range 3 {
		t.sendTicket(ctx, path, body, budget)
	}
}

func (t *OrderTraffic) countError() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errors++
}

// sendTicket uses a ticket once and checks that the answer agrees with how often the order ran.
func (t *OrderTraffic) sendTicket(ctx context.Context, path string, body any, budget time.Duration) {
	_, err := t.scenario.client.OrderWithTicket(ctx, t.scenario.randomVM(), path, body, budget)
	runs := t.scenario.countRuns(path)
	t.mu.Lock()
	defer t.mu.Unlock()
	var refused *caller.RefusalError
	switch {
	case err == nil:
		t.done++
		t.addFaultIf(runs != 1, "order %s was answered but ran %d times, want 1", path, runs)
	case errors.As(err, &refused) && refused.NotRun == refuser.Yes:
		t.refused++
		t.addFaultIf(runs != 0, "order %s was refused as not run (%s) but ran %d times", path, refused.Kind, runs)
	case errors.As(err, &refused):
		t.unknown++
		t.addFaultIf(runs > 1, "order %s has an unknown outcome but ran %d times, want at most 1", path, runs)
	default:
		t.errors++
		t.addFaultIf(runs > 1, "order %s failed and ran %d times, want at most 1", path, runs)
	}
}

func (t *OrderTraffic) addFaultIf(bad bool, format string, args ...any) {
	if bad && len(t.Faults) < maxFaults {
		t.Faults = append(t.Faults, fmt.Sprintf(format, args...))
	}
}

// countRuns returns how often searchers ran the order whose ticket has the path.
func (s *Scenario) countRuns(path string) int {
	ticket := path[strings.LastIndexByte(path, '/')+1:]
	return len(s.environment.Record.Runs(func(r Run) bool { return r.IsOrder && string(r.RequestID) == ticket }))
}

// counter returns the counter that the metric has.
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

func (t *OrderTraffic) currentFaults() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.Faults)
}
