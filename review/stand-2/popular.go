package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the play of a request that many callers send.
const (
	desk           = "desk.example"
	addAfter       = 2 * time.Second
	popularDown    = 4500 * time.Millisecond // for_s of "srv_crash", how = "all"
	beforeSteady   = 10 * time.Second        // more than stability_window_ms after the searchers are back
	steadyPeriod   = 60 * time.Second
	popularCallers = 10 // of each VM
	otherCallers   = 4
	leastOnAdded   = 20   // requests on added routes for the rule to apply
	leastShare     = 0.25 // of the share of the first routes
	lookupDeadline = 5 * time.Second
)

// served counts requests and those that were answered with success.
type served struct{ sent, ok atomic.Int64 }

func (s *served) add(a answer) {
	s.sent.Add(1)
	if a.status >= 200 && a.status < 300 {
		s.ok.Add(1)
	}
}

func (s *served) share() float64 { return float64(s.ok.Load()) / float64(max(1, s.sent.Load())) }

// playPopular asks for the same document over and over, as many callers do, on a route that was added, while all searchers of
// its service crash once. It compares in steady state how often that is served with lookups of many documents on the first
// route.
func playPopular(p *play) ([]string, error) {
	var notices []*searcher
	for i, service := range []string{"archivist", "archivist", "archivist", "notifier", "notifier", "notifier"} {
		x := newSearcher(p.rec, service, "", 4, 60*time.Millisecond)
		x.queue, x.cold = queueLength, coldPeriod
		if err := x.start(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
		p.store.Put("servers/"+x.id, x.entry("ready", 1))
		if service == "notifier" {
			notices = append(notices, x)
		}
	}
	first := map[string]any{
		"name": "archive", "host": desk, "prefix": "/archive/", "kind": "idempotent", "timeout_ms": 5000, "target_latency_ms": 300, "service": "archivist", "attempts": 2, "priority": 1,
	}
	added := map[string]any{
		"name": "notice", "host": desk, "prefix": "/notice/", "kind": "idempotent", "timeout_ms": 5000, "target_latency_ms": 300, "service": "notifier", "attempts": 2, "priority": 1,
	}
	p.configure(1, first)
	if err := p.startVMs(vmCount); err != nil {
		return nil, err
	}
	time.Sleep(addAfter)
	p.configure(2, first, added)
	time.Sleep(settle)
	var steady atomic.Bool
	var onFirst, onAdded served
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range p.vms {
		for k := range popularCallers + otherCallers {
			wg.Go(func() {
				c := &client{rec: p.rec, address: v.callers}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(rand.N(maxThink)):
					}
					path, counter := "/notice/today", &onAdded
					if k >= popularCallers {
						path, counter = "/archive/"+nextID(), &onFirst
					}
					a := c.ask(http.MethodGet, desk, path, "", lookupDeadline)
					if steady.Load() {
						counter.add(a)
					}
				}
			})
		}
	}
	time.Sleep(settle)
	if p.trouble {
		for _, x := range notices {
			x.crash()
		}
		time.Sleep(popularDown)
		for _, x := range notices {
			old := x.id
			if err := x.start(old + "-again"); err != nil {
				return nil, err
			}
			p.store.Put("servers/"+x.id, x.entry("ready", 1))
			p.store.Remove("servers/" + old)
		}
	}
	time.Sleep(beforeSteady)
	steady.Store(true)
	p.rec.add("steady", "begins")
	time.Sleep(steadyPeriod)
	close(stop)
	wg.Wait()
	return p.compareRoutes(&onFirst, &onAdded), nil
}

// configure writes a version of the configuration with the routes.
func (p *play) configure(version int, routes ...any) {
	services := []any{
		map[string]any{"name": "archivist", "max_connections": 45, "health_check_path": "/health"},
		map[string]any{"name": "notifier", "max_connections": 45, "health_check_path": "/health"},
	}
	p.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p.rec.add("configuration", "version=%d routes=%d", version, len(routes))
}

// compareRoutes returns a breach if requests on added routes are served less than leastShare as often as those on the first.
func (p *play) compareRoutes(onFirst, onAdded *served) []string {
	text := fmt.Sprintf("in steady state, the first route served %d of %d requests, the added one %d of %d",
		onFirst.ok.Load(), onFirst.sent.Load(), onAdded.ok.Load(), onAdded.sent.Load())
	p.rec.add("summary", "%s", text)
	fmt.Println(text)
	if onAdded.sent.Load() >= leastOnAdded && onAdded.share() < leastShare*onFirst.share() {
		return []string{"CONFIG: " + text}
	}
	return nil
}
