package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Figures of the play of queries over shards.
const (
	shardCount     = 6
	replicas       = 2
	reuseAfter     = 2 * time.Second // address_reuse_s
	moves          = 20
	movesAtOnce    = 2 // of 12 searchers: a share of 0.17 in "replace_with_reuse"
	moveEvery      = 5 * time.Second
	resultLimit    = 5
	seekers        = 6 // callers of each VM
	leastCoverage  = 0.75
	searchHost     = "search.example"
	searchPath     = "/cover/1"
	searchDeadline = 2 * time.Second
)

// playParts asks for queries over shards while addresses of searchers that crashed go to searchers of other shards, and few
// of the answers come twice.
func playParts(p *play) ([]string, error) {
	services := make([]string, shardCount)
	var rows []any
	for i := range services {
		services[i] = fmt.Sprintf("shard-%d", i)
		rows = append(rows, map[string]any{"name": services[i], "max_connections": 31, "health_check_path": "/health"})
	}
	var all []*searcher
	for i := range shardCount * replicas {
		x := p.newPart(services[i%shardCount], "")
		if err := x.start(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
		x.born = x.born.Add(-time.Duration(i) * time.Second) // their pauses don't coincide
		p.store.Put("servers/"+x.id, x.entry("ready", 1))
		all = append(all, x)
	}
	p.store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "cover", "host": searchHost, "prefix": "/cover/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 200,
			"gather": services, "attempts": 3, "priority": 1, "result_limit": resultLimit, "oldest_version": leastCoverage,
		}},
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
		for range seekers {
			wg.Go(func() {
				c := &client{rec: p.rec, address: v.callers}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(maxThink)):
					}
					a := c.ask(http.MethodGet, searchHost, searchPath, "", searchDeadline)
					err := checkParts(&a, services)
					mu.Lock()
					counts[a.status]++
					if err != nil {
						breaches = append(breaches, fmt.Sprintf("MIXED: %v (X-Part-Stamps: %s; X-Missing-Parts: %s)", err, strings.Join(a.header.Values("X-Part-Stamps"), ", "), a.header.Get("X-Missing-Parts")))
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(settle)
	for n := range moves {
		began := time.Now()
		if p.trouble {
			if err := p.move(all, services, n); err != nil {
				return nil, err
			}
		}
		time.Sleep(moveEvery - time.Since(began))
	}
	close(stop)
	wg.Wait()
	p.rec.add("summary", "queries by status=%v", counts)
	fmt.Println("queries by status", counts)
	return breaches, nil
}

// newPart returns a searcher of a shard.
func (p *play) newPart(service, address string) *searcher {
	x := newSearcher(p.rec, service, address, 3, 20*time.Millisecond)
	x.queue, x.cold = queueLength, coldPeriod
	x.pauseEvery, x.pauseFor = 6*time.Second, 250*time.Millisecond
	x.body = func(stamp string) string { return string(imitator.ShardAnswer(stamp)) }
	if p.trouble {
		x.repeats = isSameRequest
	}
	return x
}

// isSameRequest makes answers come twice where the next request on the connection has the same id.
func isSameRequest(last *reply, next *http.Request) bool {
	return last.status == http.StatusOK && last.attempt == next.Header.Get("X-Attempt-Id")
}

// move lets searchers crash for good and gives their addresses to new searchers of the next shard.
func (p *play) move(all []*searcher, services []string, n int) error {
	type lapse struct {
		id string
		at time.Time
	}
	var lapses []lapse
	first := n * movesAtOnce
	for k := range movesAtOnce {
		x := all[(first+k)%len(all)]
		lapses = append(lapses, lapse{x.id, time.Now().Add(silenceBeats*heartbeat - time.Duration(rand.Int64N(int64(heartbeat))))})
		x.crash()
	}
	time.Sleep(reuseAfter)
	for k := range movesAtOnce {
		i := (first + k) % len(all)
		old := all[i]
		var at int
		for at = range services {
			if services[at] == old.service {
				break
			}
		}
		x := p.newPart(services[(at+1)%len(services)], old.address)
		if err := x.start(fmt.Sprintf("i-%d-%d", i, n)); err != nil {
			return err
		}
		p.store.Put("servers/"+x.id, x.entry("ready", 1))
		all[i] = x
	}
	for _, l := range lapses {
		time.Sleep(time.Until(l.at))
		p.store.Remove("servers/" + l.id)
	}
	return nil
}

// checkParts returns an error if a success is not a correct answer over the shards.
func checkParts(a *answer, services []string) error {
	if a.status < 200 || a.status > 299 {
		return nil
	}
	got := imitator.Answer{Status: a.status, Header: a.header, Body: a.body}
	_, _ = fmt.Sscan(a.header.Get("X-Missing-Parts"), &got.Missing)
	for s := range strings.SplitSeq(strings.Join(a.header.Values("X-Part-Stamps"), ","), ",") {
		got.Stamps = append(got.Stamps, strings.TrimSpace(s))
	}
	return imitator.CheckMerged(&got, a.request, [][]string{services}, leastCoverage, resultLimit)
}
