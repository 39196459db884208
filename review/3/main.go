// Command drain shows that a request which waits for a connection is sent to a searcher long after it began to leave.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
	"github.com/pistachiogap/pistachiogap/review/stand"
)

const (
	host      = "leno12.example"
	service   = "archivist"
	searchers = 3
	slots     = 4
	queue     = 16
	settle    = 10 * time.Second // before traffic starts
	traffic   = 20 * time.Second
	perSecond = 45
	work      = 160 * time.Millisecond
	deadline  = 8 * time.Second

	// All searchers turn slow, as in the trouble srv_slow, how "all", x 12, for 8 s.
	slowBy    = 12
	slowAt    = 5 * time.Second
	slowUntil = slowAt + 8*time.Second
	leaveAt   = 6500 * time.Millisecond
	drain     = 3 * time.Second // drain_ms
)

func main() { os.Exit(run()) }

// clock tells the time since the start of traffic.
type clock struct{ start atomic.Int64 }

func (c *clock) begin() { c.start.Store(time.Now().UnixNano()) }

// since returns the time since the start of traffic, or 0 before it.
func (c *clock) since() time.Duration {
	start := c.start.Load()
	if start == 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - start)
}

// leaver is the searcher that leaves: when the store accepted that, and what reached it too late.
type leaver struct {
	mu    sync.Mutex
	acked time.Time
	late  []time.Duration
}

func (l *leaver) arrived(now time.Time) (after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acked.IsZero() {
		return 0
	}
	if after = now.Sub(l.acked); after > drain {
		l.late = append(l.late, after)
	}
	return after
}

func run() int {
	rec, err := stand.NewRecord("review/3/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Summary("the searchers turn slow: %v", trouble)
	store := imitator.NewStore()
	defer store.Close()
	zones := []string{"ro-east-a", "ro-west-a", "eu-central-a"}
	var leaving *stand.Searcher
	l := &leaver{}
	c := &clock{}
	for i := range searchers {
		s, err := newSearcher(i, zones[i%len(zones)], trouble, c, l, rec)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		s.Register(store, "ready", 0)
		if i == 0 {
			leaving = s
		}
	}
	store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/nono601/", "kind": "non_idempotent", "service": service,
			"timeout_ms": deadline.Milliseconds(), "target_latency_ms": 800, "attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": service, "max_connections": 45, "health_check_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	fleet, err := stand.StartFleet(store, zones...)
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		rec.Summary("cannot run: %v", err)
		return 2
	}
	time.Sleep(settle)
	c.begin()
	time.AfterFunc(leaveAt, func() {
		leaving.Register(store, "draining", 0)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.acked = time.Now()
		rec.Printf("the store accepted that searcher %s is draining", leaving.ID)
	})
	ask(fleet, rec)
	return judge(rec, l, leaving.ID)
}

// newSearcher starts the searcher of the number, which turns slow if it is told to.
func newSearcher(number int, zone string, turnsSlow bool, c *clock, l *leaver, rec *stand.Record) (*stand.Searcher, error) {
	worker := stand.NewWorker(slots, queue)
	var s *stand.Searcher
	s, err := stand.NewSearcher(fmt.Sprintf("i-%d", number+1), service, zone, stand.AnyPort, func(call *stand.Call) []byte {
		if number == 0 {
			if after := l.arrived(time.Now()); after > 0 {
				rec.Printf("%s reaches searcher %s from %s, %v after the store accepted that it is draining", call.ID, s.ID, call.Host, after.Round(time.Millisecond))
			}
		}
		ran := worker.Run(func() {
			took := work
			if t := c.since(); turnsSlow && t > slowAt && t < slowUntil {
				took *= slowBy
			}
			time.Sleep(took)
		})
		if !ran {
			return stand.Full(call.ID)
		}
		rec.Printf("searcher %s ran %s", s.ID, call.ID)
		return s.Success(call.ID)
	})
	return s, err
}

// ask sends the traffic, each request once.
func ask(fleet *stand.Fleet, rec *stand.Record) {
	caller := stand.NewCaller()
	var all sync.WaitGroup
	begin := time.Now()
	for time.Since(begin) < traffic {
		id := fmt.Sprintf("%016x", rand.Uint64())
		vm := fleet.VMs[rand.IntN(len(fleet.VMs))]
		all.Go(func() {
			rec.Printf("caller sends %s to %s", id, vm.Name)
			status, _ := caller.Ask(vm.Front, "POST", host, "/nono601/a", "one certificate, please", id, deadline)
			rec.Printf("caller gets %d for %s", status, id)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
	}
	all.Wait()
}

// judge checks the rule DRAIN.
func judge(rec *stand.Record, l *leaver, id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.late) == 0 {
		rec.Summary("no request reached searcher %s later than %v after the store accepted that it is draining", id, drain)
		return 0
	}
	rec.Summary("DRAIN: requests reached searcher %s so long after the store accepted that it is draining (bound %v): %v", id, drain, l.late)
	return 1
}
