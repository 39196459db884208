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

const maxFaultsKept = 20

// Tally is what the callers of a stage saw.
type Tally struct {
	Complete int
	Partial  int
	Refused  map[refuser.Kind]int
	Errors   int
	Attempts int
	Needed   int
	Slowest  time.Duration
	Faults   []string
	Last     modeler.RequestID
}

// Traffic sends searches to the VMs of a stage and checks every answer.
type Traffic struct {
	stage *Stage
	mu    sync.Mutex
	tally Tally
	end   context.CancelFunc
	done  []<-chan error
}

func newTraffic(s *Stage) *Traffic {
	return &Traffic{stage: s, tally: Tally{Refused: map[refuser.Kind]int{}}}
}

// start runs callers that each send one search after the other.
func (t *Traffic) start(o Options) {
	ctx, cancel := context.WithCancel(t.stage.ctx)
	t.end = cancel
	for n := range int(o.Float("callers", 4)) {
		t.done = append(t.done, spawner.Go(ctx, func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				vms := t.stage.callers()
				if len(vms) > 0 {
					t.one(ctx, vms[rand.IntN(len(vms))], o, fmt.Sprintf("caller %d search %d", n, i))
				}
				spawner.Sleep(ctx, o.Duration("pause", 5*time.Millisecond))
			}
			return nil
		}))
	}
}

func (t *Traffic) stop() {
	if t.end == nil {
		return
	}
	t.end()
	_ = spawner.Wait(t.done...)
	t.end, t.done = nil, nil
}

func (s *Stage) stopTraffic() {
	if s.traffic != nil {
		s.traffic.stop()
		s.orders.stop()
	}
}

// one sends a search and checks its answer; it returns the refusal's kind, if any.
func (t *Traffic) one(ctx context.Context, vm netip.AddrPort, o Options, text string) refuser.Kind {
	index := modeler.IndexName(o.Text("index", "cover"))
	start := time.Now()
	a, err := t.stage.client.Search(context.WithoutCancel(ctx), vm, index, server.Query{Text: text}, modeler.RequestID(o.Text("id", "")), o.Duration("deadline", 2*time.Second))
	took := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.Slowest = max(t.tally.Slowest, took)
	var refused *caller.Refused
	switch {
	case errors.As(err, &refused):
		t.tally.Refused[refused.Kind]++
		return refused.Kind
	case err != nil:
		t.tally.Errors++
		t.stage.Logf("search through %s failed: %v", vm, err)
		return "error"
	}
	if a.Complete {
		t.tally.Complete++
	} else {
		t.tally.Partial++
		t.tally.Last = a.Request
	}
	t.tally.Attempts += a.Attempts
	t.tally.Needed += a.Coverage.ShardsTotal
	for _, f := range CheckAnswer(t.stage.published(a.Snapshot), index, text, a) {
		if len(t.tally.Faults) < maxFaultsKept {
			t.tally.Faults = append(t.tally.Faults, f)
		}
	}
	return ""
}

func (t *Traffic) read() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tally
}

func (t *Traffic) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally = Tally{Refused: map[refuser.Kind]int{}}
}

// Bookings sends orders to the VMs of a stage, sends them again through other VMs, and checks what was answered against what ran.
type Bookings struct {
	stage   *Stage
	mu      sync.Mutex
	tickets []string
	done    int
	unknown int
	refused int
	errors  int
	Faults  []string
	end     context.CancelFunc
	ends    []<-chan error
}

func newBookings(s *Stage) *Bookings { return &Bookings{stage: s} }

func (b *Bookings) start(o Options) {
	ctx, cancel := context.WithCancel(b.stage.ctx)
	b.end = cancel
	for n := range int(o.Float("callers", 2)) {
		b.ends = append(b.ends, spawner.Go(ctx, func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				b.book(context.WithoutCancel(ctx), o, fmt.Sprintf("booking %d of caller %d", i, n))
				spawner.Sleep(ctx, o.Duration("pause", 10*time.Millisecond))
			}
			return nil
		}))
	}
}

func (b *Bookings) stop() {
	if b.end == nil {
		return
	}
	b.end()
	_ = spawner.Wait(b.ends...)
	b.end, b.ends = nil, nil
}

// book gets a ticket, uses it, and sends it twice more through whichever VMs there are.
func (b *Bookings) book(ctx context.Context, o Options, what string) string {
	service := modeler.ServiceName(o.Text("service", "desk-01"))
	budget := o.Duration("deadline", 2*time.Second)
	body := map[string]string{"book": what}
	path, err := b.stage.client.Ticket(ctx, b.any(), service, body, budget)
	if err != nil {
		b.count(func() { b.errors++ })
		return ""
	}
	b.count(func() { b.tickets = append(b.tickets, path) })
	for range 3 {
		b.send(ctx, path, body, budget)
	}
	return path
}

func (b *Bookings) any() netip.AddrPort {
	vms := b.stage.callers()
	if len(vms) == 0 {
		return netip.AddrPort{}
	}
	return vms[rand.IntN(len(vms))]
}

// send uses a ticket once and checks that the answer agrees with what ran.
func (b *Bookings) send(ctx context.Context, path string, body any, budget time.Duration) {
	_, err := b.stage.client.Resend(ctx, b.any(), path, body, budget)
	runs := b.stage.runsOf(path)
	b.mu.Lock()
	defer b.mu.Unlock()
	var refused *caller.Refused
	switch {
	case err == nil:
		b.done++
		b.fault(runs != 1, "%s was answered and ran %d times", path, runs)
	case errors.As(err, &refused) && refused.NotRun == refuser.Yes:
		b.refused++
		b.fault(runs != 0, "%s was refused as not run (%s) and ran %d times", path, refused.Kind, runs)
	case errors.As(err, &refused):
		b.unknown++
		b.fault(runs > 1, "%s is unknown and ran %d times", path, runs)
	default:
		b.errors++
		b.fault(runs > 1, "%s failed and ran %d times", path, runs)
	}
}

func (b *Bookings) fault(bad bool, format string, args ...any) {
	if bad && len(b.Faults) < maxFaultsKept {
		b.Faults = append(b.Faults, fmt.Sprintf(format, args...))
	}
}

func (b *Bookings) count(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// runsOf returns how often searchers ran the order of a ticket's path.
func (s *Stage) runsOf(path string) int {
	ticket := path[lastSlash(path)+1:]
	return len(s.world.Record.Runs(func(r Run) bool { return r.Order && string(r.Request) == ticket }))
}

func lastSlash(path string) int {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return i
		}
	}
	return -1
}
