package soaker

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// history is what callers saw and what was planned.
type history struct {
	mu         sync.Mutex
	refused    map[string]bool
	cut        map[string]string
	lookups    []lookupChange
	violations []string
	asked      int
	served     int
}

type lookupChange struct {
	at      time.Time
	service string
}

func (h *history) violation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) published(at time.Time, lookup string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lookups = append(h.lookups, lookupChange{at, lookup})
}

func (h *history) lookup() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lookups[len(h.lookups)-1].service
}

// allowed returns the services that a lookup may reach if its VM knows all that was published before since, and any later version may be known.
func (h *history) allowed(since time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for i, l := range h.lookups {
		if i+1 < len(h.lookups) && h.lookups[i+1].at.Before(since) {
			continue
		}
		out = append(out, l.service)
	}
	return out
}

// caller asks VMs one request after the other on connections that it keeps, until the context ends.
func (w *world) caller(ctx context.Context, n int, rnd func(int) int) {
	clients := map[netip.AddrPort]*http.Client{}
	for i := 0; ctx.Err() == nil; i++ {
		v := w.vms[rnd(len(w.vms))]
		c := clients[v.callers]
		if c == nil {
			c = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
			clients[v.callers] = c
			defer c.CloseIdleConnections()
		}
		w.request(ctx, c, v, fmt.Sprintf("c%d-%d", n, i), rnd(10))
		w.wait(time.Duration(5+rnd(20)) * time.Millisecond)
	}
}

// request asks one VM and checks the answer.
func (w *world) request(ctx context.Context, c *http.Client, v *vm, id string, kind int) (status int) {
	method, path := http.MethodGet, "/sweep/"+id
	switch {
	case kind >= 8:
		method, path = http.MethodPost, "/book/"+id
	case kind >= 5:
		path = "/lookup/" + id
	}
	sent := time.Now()
	a, err := imitator.Ask(ctx, c, v.callers, method, callersHost, path, "", id, deadlineMS)
	took := time.Since(sent)
	w.history.mu.Lock()
	w.history.asked++
	if err == nil && a.Status == http.StatusOK {
		w.history.served++
	}
	if err == nil && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable) {
		if w.history.refused == nil {
			w.history.refused = map[string]bool{}
		}
		w.history.refused[id] = true
	}
	if err != nil && ctx.Err() == nil && took < deadlineMS*time.Millisecond && v.onlyPlanned(sent.Add(-steadyWindow)) {
		if w.history.cut == nil {
			w.history.cut = map[string]string{}
		}
		w.history.cut[id] = fmt.Sprintf("%s %s: %v", v.name, path, err)
	}
	w.history.mu.Unlock()
	if err != nil {
		return 0
	}
	steady := sent.Sub(v.steadySince()) > steadyWindow && time.Since(v.steadySince()) > steadyWindow
	w.judge(v, id, path, &a, sent, took, steady)
	return a.Status
}

func (w *world) judge(v *vm, id, path string, a *imitator.Answer, sent time.Time, took time.Duration, steady bool) {
	if steady && took > deadlineMS*time.Millisecond+500*time.Millisecond {
		w.history.violation("%s %s was answered %d after %s", v.name, path, a.Status, took)
	}
	if a.Status == http.StatusNotFound && steady {
		w.history.violation("%s %s has no route", v.name, path)
	}
	if a.Status != http.StatusOK {
		return
	}
	if strings.HasPrefix(path, "/sweep/") {
		if err := imitator.CheckGathered(a, id, indexVersions, leastCoverage, recordLimit); err != nil {
			w.history.violation("%s %s: %v", v.name, path, err)
		}
		return
	}
	if len(a.Stamps) != 1 || !strings.HasSuffix(a.Stamps[0], "/"+id) || a.Body != string(imitator.Part(a.Stamps[0])) {
		w.history.violation("%s %s: stamps %v, body %q", v.name, path, a.Stamps, a.Body)
		return
	}
	w.mu.Lock()
	storeBad := w.storeBad
	w.mu.Unlock()
	if !strings.HasPrefix(path, "/lookup/") || !steady || sent.Sub(storeBad) < steadyWindow+applyWithin {
		return
	}
	service, _, _ := strings.Cut(a.Stamps[0], "/")
	if allowed := w.history.allowed(sent.Add(-applyWithin)); !slices.Contains(allowed, service) {
		w.history.violation("%s %s ran at %s, allowed are %v", v.name, path, service, allowed)
	}
}

// checkRuns judges what all searchers worked on, at the end.
func (w *world) checkRuns() {
	w.mu.Lock()
	all := append(slices.Clone(w.gone), slices.Collect(maps.Values(w.replicas))...)
	w.mu.Unlock()
	ran := map[string]int{}
	booked := map[string]int{}
	for _, x := range all {
		for _, r := range x.Runs() {
			ran[r.ID]++
			if x.Service == "portal" {
				booked[r.ID]++
			}
			w.checkLeaving(x, r)
		}
	}
	for _, x := range all {
		for _, r := range x.Requests() {
			id := imitator.IDOf(r)
			if strings.HasPrefix(r.URL.Path, "/book/") && booked[id] > 1 {
				w.history.violation("%s ran %d times", r.URL.Path, booked[id])
			}
		}
	}
	for id, how := range w.history.cut {
		if ran[id] > 0 {
			w.history.violation("ran and was cut with nothing but planned stops: %s", how)
		}
	}
	for id := range w.history.refused {
		if ran[id] > 0 {
			w.history.violation("%s was refused as not run and ran %d times", id, ran[id])
		}
	}
}

// checkLeaving judges a run at a searcher that was leaving; VMs that something was done to lately may not know.
func (w *world) checkLeaving(x *replica, r imitator.Run) {
	if x.leftAt.IsZero() || r.At.Before(x.leftAt.Add(drainWithin+500*time.Millisecond)) {
		return
	}
	w.mu.Lock()
	storeBad := w.storeBad
	w.mu.Unlock()
	if x.leftAt.Sub(storeBad) < steadyWindow {
		return
	}
	for _, v := range w.vms {
		if v.addr == r.From && v.steadySince().Before(x.leftAt.Add(-steadyWindow)) {
			w.history.violation("%s sent to %s %s after it left", v.name, x.ID, r.At.Sub(x.leftAt))
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare)
}
