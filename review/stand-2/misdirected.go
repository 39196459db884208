package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the plays.
const (
	readyLimit   = 15 * time.Second
	heartbeat    = 1200 * time.Millisecond
	silenceBeats = 3 // intervals of silence after which the store removes an entry
	vmCount      = 3
	callersOfVM  = 16
	maxThink     = 300 * time.Millisecond // of a caller between two orders
	queueLength  = 16
	coldPeriod   = 3 * time.Second
	settle       = 3 * time.Second // before the first disruption

	orderHost     = "desk.example"
	orderPath     = "/book/1"
	orderDeadline = 5 * time.Second

	downTime     = 2 * time.Second
	restarts     = 20
	restartEvery = 5 * time.Second
)

// playMisdirected sends orders while searchers crash and start again under new ids, and their rejections of orders that are
// meant for their earlier ids come twice.
func playMisdirected(p *play) ([]string, error) {
	searchers := make([]*searcher, 3)
	for i := range searchers {
		x := newSearcher(p.rec, "portal", "", 3, 60*time.Millisecond)
		x.queue, x.cold = queueLength, coldPeriod
		if p.trouble {
			x.repeats = isMisdirected
		}
		if err := x.start(fmt.Sprintf("i-%d-0", i)); err != nil {
			return nil, err
		}
		p.store.Put("servers/"+x.id, x.entry("ready", 1))
		searchers[i] = x
	}
	p.store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "book", "host": orderHost, "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 5000, "target_latency_ms": 300,
			"service": "portal", "attempts": 2, "priority": 1,
		}},
		"services": []any{map[string]any{"name": "portal", "max_connections": 110, "health_check_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := p.startVMs(vmCount); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for _, v := range p.vms {
		for range callersOfVM {
			wg.Go(func() {
				c := &client{rec: p.rec, address: v.callers}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(maxThink)):
					}
					a := c.ask(http.MethodPost, orderHost, orderPath, "one urn for order "+nextID(), orderDeadline)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(settle)
	for n := range restarts {
		began := time.Now()
		if p.trouble {
			if err := p.restart(searchers[n%len(searchers)], fmt.Sprintf("i-%d-%d", n%len(searchers), n+1)); err != nil {
				return nil, err
			}
		}
		time.Sleep(restartEvery - time.Since(began))
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	return checkOrders(p, answers), nil
}

// restart makes a searcher crash and start again at its address under another id. The entry of the earlier id leaves the
// store after three heartbeat intervals of silence, the first of which began up to an interval before the crash.
func (p *play) restart(x *searcher, id string) error {
	old := x.id
	x.crash()
	lapses := time.Now().Add(silenceBeats*heartbeat - time.Duration(rand.Int64N(int64(heartbeat))))
	time.Sleep(downTime)
	if err := x.start(id); err != nil {
		return err
	}
	p.store.Put("servers/"+id, x.entry("ready", 1))
	time.Sleep(time.Until(lapses))
	p.store.Remove("servers/" + old)
	return nil
}

// isMisdirected makes rejections of requests that are meant for another searcher come twice.
func isMisdirected(last *reply, _ *http.Request) bool {
	return last.status == http.StatusMisdirectedRequest
}

// checkOrders returns the orders that ran more than once, and those that were answered with a status that promises that they
// have not run and did run.
func checkOrders(p *play, answers []answer) []string {
	var out []string
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
		runs := p.rec.runsOf(a.request)
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("TWICE: order %s ran %d times, at %s and %s; the caller got status %d", a.request, len(runs), runs[0].searcher, runs[1].searcher, a.status))
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				out = append(out, fmt.Sprintf("REFUSED: order %s ran at %s and was answered %d", a.request, runs[0].searcher, a.status))
			}
		}
	}
	p.rec.add("summary", "orders=%d by status=%v", len(answers), counts)
	fmt.Println("orders", len(answers), "by status", counts)
	return out
}
