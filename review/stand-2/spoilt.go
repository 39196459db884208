package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the play of spoilt answers.
const (
	spoiltShards = 4
	spoiltCopies = 3
	spoilShare   = 0.02            // x of "garble"
	spoilPeriod  = 5 * time.Second // for_s of "garble"
	spoilGap     = time.Second
	spoilTimes   = 10
)

// playSpoilt asks for single documents and for queries over shards, from searchers that answer in chunks, while half of the
// searchers spoil the status line of few of their answers and close the connection then.
func playSpoilt(p *play) ([]string, error) {
	services := make([]string, spoiltShards)
	rows := []any{map[string]any{"name": "archivist", "max_connections": 45}}
	for i := range services {
		services[i] = fmt.Sprintf("shard-%d", i)
		rows = append(rows, map[string]any{"name": services[i], "max_connections": 31})
	}
	var spoiling atomic.Bool
	for i := range (spoiltShards + 1) * spoiltCopies {
		x := p.newPart("archivist", "")
		if i < spoiltShards*spoiltCopies {
			x = p.newPart(services[i%spoiltShards], "")
		} else {
			x.body = textOf
		}
		x.chunked, x.repeats = true, nil
		if i%2 == 0 {
			x.spoils = func() bool { return spoiling.Load() && rand.Float64() < spoilShare }
		}
		if err := x.start(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
		x.born = x.born.Add(-time.Duration(i) * time.Second) // their pauses don't coincide
		p.store.Put("servers/"+x.id, x.entry("ready", 1))
	}
	p.store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "cover", "host": searchHost, "prefix": "/cover/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 200,
				"gather": services, "attempts": 2, "priority": 1, "result_limit": resultLimit, "oldest_version": leastCoverage,
			},
			map[string]any{
				"name": "archive", "host": searchHost, "prefix": "/archive/", "kind": "idempotent", "timeout_ms": 5000, "target_latency_ms": 300,
				"service": "archivist", "attempts": 2, "priority": 1,
			},
		},
		"services": rows,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := p.startVMs(vmCount); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var breaches []string
	counts := map[int]int{}
	for _, v := range p.vms {
		for k := range 2 * seekers {
			wg.Go(func() {
				c := &client{rec: p.rec, address: v.callers}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(maxThink)):
					}
					path, check := "/archive/"+nextID(), checkSingle
					if k%2 == 0 {
						path, check = searchPath, func(a *answer) error { return checkParts(a, services) }
					}
					a := c.ask(http.MethodGet, searchHost, path, "", searchDeadline)
					err := check(&a)
					mu.Lock()
					counts[a.status]++
					if err != nil {
						breaches = append(breaches, fmt.Sprintf("MIXED: %s: %v", path, err))
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(settle)
	for range spoilTimes {
		spoiling.Store(p.trouble)
		time.Sleep(spoilPeriod)
		spoiling.Store(false)
		time.Sleep(spoilGap)
	}
	close(stop)
	wg.Wait()
	p.rec.add("summary", "requests by status=%v", counts)
	fmt.Println("requests by status", counts)
	return breaches, nil
}

// checkSingle returns an error if a success is not the whole answer of the searcher that signed it.
func checkSingle(a *answer) error {
	if a.status < 200 || a.status > 299 {
		return nil
	}
	if want := textOf(a.header.Get("X-Server-Stamp")); a.body != want {
		return fmt.Errorf("request %s got %d with the body %q, the searcher sent %q", a.request, a.status, a.body, want)
	}
	return nil
}
