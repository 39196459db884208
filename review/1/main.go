// Command twice shows that a second copy of a rejection makes the tier run a request that is not idempotent twice.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
	"github.com/pistachiogap/pistachiogap/review/stand"
)

const (
	host      = "leno12.example"
	service   = "notifier"
	settle    = 10 * time.Second // before traffic starts
	traffic   = 85 * time.Second
	perSecond = 100
	work      = 70 * time.Millisecond

	// The second copies come as in the trouble garble, how "extra late": share 0.6, x 0.03, for 5 s, more than once.
	copyShare  = 0.03
	copyFor    = 5 * time.Second
	copyPeriod = 6 * time.Second
)

// backEnd is one searcher with its worker. A faulty one sends second copies of some of its answers.
type backEnd struct {
	*stand.Searcher
	worker *stand.Worker
	faulty bool

	mu     sync.Mutex
	copies map[string][]byte // by connection: the copy of an earlier answer that goes before the next one
	ofID   map[string]string // by connection: the id of the request that the copy answers
}

// ledger counts the runs of each request, and what its callers got.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string // by id: the searchers that ran the request
}

func (l *ledger) add(id, searcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], searcher)
}

func main() { os.Exit(run()) }

func run() int {
	rec, err := stand.NewRecord("review/1/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Summary("second copies of answers: %v", trouble)
	store := imitator.NewStore()
	defer store.Close()
	runs := &ledger{runs: map[string][]string{}}
	var copying func() bool
	zones := []string{"ro-east-a", "ro-west-a", "eu-central-a"}
	for i, zone := range zones {
		b := &backEnd{worker: stand.NewWorker(stand.Slots, stand.Queue), faulty: trouble && i < 2, copies: map[string][]byte{}, ofID: map[string]string{}}
		b.Searcher, err = stand.NewSearcher(fmt.Sprintf("i-%d", i+1), service, zone, stand.AnyPort, func(c *stand.Call) []byte {
			return b.handle(c, rec, runs, copying)
		})
		if err != nil {
			fmt.Println(err)
			return 2
		}
		b.Register(store, "ready", 0)
	}
	store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "prefix": "/nono601/", "kind": "non_idempotent", "service": service,
			"timeout_ms": 4000, "target_latency_ms": 800, "attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": service, "max_connections": 45, "health_check_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var start time.Time
	copying = func() bool { return !start.IsZero() && time.Since(start)%copyPeriod < copyFor }
	fleet, err := stand.StartFleet(store, zones...)
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		rec.Summary("cannot run: %v", err)
		return 2
	}
	time.Sleep(settle)
	start = time.Now()
	statuses := ask(fleet, rec)
	return judge(rec, runs, statuses)
}

// handle runs a request, or rejects it if the searcher is full. If a copy waits on the connection, it goes first.
func (b *backEnd) handle(c *stand.Call, rec *stand.Record, runs *ledger, copying func() bool) []byte {
	earlier, of := b.takeCopy(c.From)
	if earlier != nil {
		rec.Printf("searcher %s sends the second copy of its answer to %s where that to %s is due", b.ID, of, c.ID)
		_, _ = c.Conn.Write(earlier)
	}
	var answer []byte
	if b.worker.Run(func() {
		runs.add(c.ID, b.ID)
		rec.Printf("searcher %s runs %s", b.ID, c.ID)
		time.Sleep(work)
	}) {
		answer = b.Success(c.ID)
	} else {
		rec.Printf("searcher %s is full and rejects %s, which it has not run", b.ID, c.ID)
		answer = stand.Full(c.ID)
	}
	if b.faulty && copying() && rand.Float64() < copyShare {
		b.mu.Lock()
		b.copies[c.From], b.ofID[c.From] = answer, c.ID
		b.mu.Unlock()
	}
	return answer
}

func (b *backEnd) takeCopy(from string) (answer []byte, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer, id = b.copies[from], b.ofID[from]
	delete(b.copies, from)
	return answer, id
}

// ask sends the traffic, each request once, and returns the status that each got.
func ask(fleet *stand.Fleet, rec *stand.Record) map[string]int {
	caller := stand.NewCaller()
	statuses := map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < traffic; n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		vm := fleet.VMs[rand.IntN(len(fleet.VMs))]
		all.Go(func() {
			rec.Printf("caller sends %s to %s", id, vm.Name)
			status, _ := caller.Ask(vm.Front, "POST", host, "/nono601/book", "one certificate, please", id, 4*time.Second)
			rec.Printf("caller gets %d for %s", status, id)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond))
	}
	all.Wait()
	return statuses
}

// judge checks the rules TWICE and REFUSED.
func judge(rec *stand.Record, runs *ledger, statuses map[string]int) int {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	twice, refused, byStatus := 0, 0, map[int]int{}
	for id, status := range statuses {
		byStatus[status]++
		searchers := runs.runs[id]
		if len(searchers) > 1 {
			twice++
			rec.Summary("TWICE: %s, not idempotent, ran on %v; its caller got %d", id, searchers, status)
		}
		if len(searchers) > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			rec.Summary("REFUSED: %s ran on %v, but its caller got %d", id, searchers, status)
		}
	}
	rec.Summary("requests %d, by status %v; run twice: %d; ran, but were refused: %d", len(statuses), byStatus, twice, refused)
	if twice+refused > 0 {
		return 1
	}
	return 0
}
