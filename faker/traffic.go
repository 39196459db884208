package faker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// maxFaults bounds the list of wrong answers that is kept for the message of a failed check.
const maxFaults = 20

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
	cancel   context.CancelFunc
	loops    []<-chan error
}

func newSearchTraffic(s *Scenario) *SearchTraffic {
	return &SearchTraffic{scenario: s, stats: SearchStats{Refused: map[refuser.Kind]int{}}}
}

// start starts callers, each of which sends one search after another to random VMs until stop is called.
func (t *SearchTraffic) start(o Options) {
	ctx, cancel := context.WithCancel(t.scenario.ctx)
	t.cancel = cancel
	for n := range int(o.Float("callers", 4)) {
		t.loops = append(t.loops, spawner.Go(ctx, func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				vms := t.scenario.callerAddresses()
				if len(vms) > 0 {
					t.send(ctx, vms[rand.IntN(len(vms))], o, fmt.Sprintf("caller %d search %d", n, i))
				}
				spawner.Sleep(ctx, o.Duration("pause", 5*time.Millisecond))
			}
			return nil
		}))
	}
}

func (t *SearchTraffic) stop() {
	if t.cancel == nil {
		return
	}
	t.cancel()
	_ = spawner.Wait(t.loops...)
	t.cancel, t.loops = nil, nil
}

func (s *Scenario) stopTraffic() {
	if s.searches != nil {
		s.searches.stop()
		s.orders.stop()
	}
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

// OrderTraffic sends each order several times through random VMs of a scenario and checks that the answers agree with how
// often the searchers ran the order. Each use of a ticket counts once in its counters.
type OrderTraffic struct {
	scenario *Scenario
	mu       sync.Mutex
	tickets  []string // paths of the issued tickets; never read
	done     int      // answered
	unknown  int      // refused with an unknown outcome
	refused  int      // refused as certainly not run
	errors   int      // no ticket was issued, or a use got neither an answer nor a refusal
	Faults   []string // wrong answers, found by sendTicket
	cancel   context.CancelFunc
	loops    []<-chan error
}

func newOrderTraffic(s *Scenario) *OrderTraffic { return &OrderTraffic{scenario: s} }

func (t *OrderTraffic) start(o Options) {
	ctx, cancel := context.WithCancel(t.scenario.ctx)
	t.cancel = cancel
	for n := range int(o.Float("callers", 2)) {
		t.loops = append(t.loops, spawner.Go(ctx, func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				t.sendOrder(context.WithoutCancel(ctx), o, fmt.Sprintf("booking %d of caller %d", i, n))
				spawner.Sleep(ctx, o.Duration("pause", 10*time.Millisecond))
			}
			return nil
		}))
	}
}

func (t *OrderTraffic) stop() {
	if t.cancel == nil {
		return
	}
	t.cancel()
	_ = spawner.Wait(t.loops...)
	t.cancel, t.loops = nil, nil
}

// sendOrder gets a ticket from a random VM and uses it three times, each time through a random VM. It returns the
// ticket's path, or "" if that VM gave no ticket. Its only caller, start, ignores the path.
func (t *OrderTraffic) sendOrder(ctx context.Context, o Options, text string) string {
	service := modeler.ServiceName(o.Text("service", "desk-01"))
	budget := o.Duration("deadline", 2*time.Second)
	body := map[string]string{"book": text}
	path, err := t.scenario.client.TicketPath(ctx, t.randomVM(), service, body, budget)
	if err != nil {
		t.update(func() { t.errors++ })
		return ""
	}
	t.update(func() { t.tickets = append(t.tickets, path) })
	for range 3 {
		t.sendTicket(ctx, path, body, budget)
	}
	return path
}

func (t *OrderTraffic) randomVM() netip.AddrPort {
	vms := t.scenario.callerAddresses()
	if len(vms) == 0 {
		return netip.AddrPort{}
	}
	return vms[rand.IntN(len(vms))]
}

// sendTicket uses a ticket once and checks that the answer agrees with how often the order ran.
func (t *OrderTraffic) sendTicket(ctx context.Context, path string, body any, budget time.Duration) {
	_, err := t.scenario.client.OrderWithTicket(ctx, t.randomVM(), path, body, budget)
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

// update calls f with the lock held.
func (t *OrderTraffic) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// countRuns returns how often searchers ran the order whose ticket has the path.
func (s *Scenario) countRuns(path string) int {
	ticket := path[lastSlash(path)+1:]
	return len(s.environment.Record.Runs(func(r Run) bool { return r.IsOrder && string(r.RequestID) == ticket }))
}

func lastSlash(path string) int {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return i
		}
	}
	return -1
}
