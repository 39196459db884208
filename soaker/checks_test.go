package soaker

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// history records what callers observed, which lookup services were published, and the violations found.
type history struct {
	mu      sync.Mutex
	refused map[string]bool // ids of requests answered 429 or 503, which promises that no searcher ran them
	// brokenAtStop describes, by id, the requests that failed before their deadline, although starts, SIGTERM and SIGHUP
	// were the only recent disturbances of their VM. A planned stop may break only requests that no searcher ran.
	brokenAtStop map[string]string
	lookups      []lookupChange // in the order of publication
	violations   []string
	requests     int // sent by all callers
	served       int // of requests, those answered 200
}

// lookupChange is the publication of a configuration. A VM that has applied it runs lookups at the service.
type lookupChange struct {
	at      time.Time
	service string
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) recordLookup(at time.Time, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lookups = append(h.lookups, lookupChange{at, service})
}

// lookupService returns the service of lookups in the configuration published last.
func (h *history) lookupService() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lookups[len(h.lookups)-1].service
}

// allowedLookups returns the services at which a lookup may run, if its VM applied every configuration published before
// the time since. The VM may have applied a later configuration, so the services of all later configurations are allowed too.
func (h *history) allowedLookups(since time.Time) []string {
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

// runCaller sends requests to random VMs one at a time, over one kept connection to each VM, until the context ends.
func (d *deployment) runCaller(ctx context.Context, n int, rnd func(int) int) {
	clients := map[netip.AddrPort]*http.Client{}
	for i := 0; ctx.Err() == nil; i++ {
		v := d.vms[rnd(len(d.vms))]
		c := clients[v.callersAddr]
		if c == nil {
			c = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
			clients[v.callersAddr] = c
			defer c.CloseIdleConnections()
		}
		d.request(ctx, c, v, fmt.Sprintf("c%d-%d", n, i), rnd(10))
		d.wait(time.Duration(5+rnd(20)) * time.Millisecond)
	}
}

// request sends one request to a VM and checks the answer. It returns the status, or 0 without an answer.
// Kinds 0 to 4 are sweeps, which go to all shards of an index, 5 to 7 lookups, which go to one service, 8 and 9 orders.
func (d *deployment) request(ctx context.Context, c *http.Client, v *vm, id string, kind int) (status int) {
	method, path := http.MethodGet, "/sweep/"+id
	switch {
	case kind >= 8:
		method, path = http.MethodPost, "/book/"+id
	case kind >= 5:
		path = "/lookup/" + id
	}
	sent := time.Now()
	a, err := imitator.Ask(ctx, c, v.callersAddr, method, callersHost, path, "", id, deadlineMS)
	took := time.Since(sent)
	d.history.mu.Lock()
	d.history.requests++
	if err == nil && a.Status == http.StatusOK {
		d.history.served++
	}
	if err == nil && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable) {
		if d.history.refused == nil {
			d.history.refused = map[string]bool{}
		}
		d.history.refused[id] = true
	}
	if err != nil && ctx.Err() == nil && took < deadlineMS*time.Millisecond && v.onlyPlannedStopsSince(sent.Add(-steadyWindow)) {
		if d.history.brokenAtStop == nil {
			d.history.brokenAtStop = map[string]string{}
		}
		d.history.brokenAtStop[id] = fmt.Sprintf("%s %s: %v", v.name, path, err)
	}
	d.history.mu.Unlock()
	if err != nil {
		return 0
	}
	steady := sent.Sub(v.undisturbedSince()) > steadyWindow && time.Since(v.undisturbedSince()) > steadyWindow
	d.checkAnswer(v, id, path, &a, sent, took, steady)
	return a.Status
}

// checkAnswer records a violation for each guarantee that the answer breaks. Deadline, route and configuration are
// checked only on a steady VM: one that was undisturbed for steadyWindow before the request and until its answer. The
// configuration is checked only if the store was undisturbed too, because a VM learns of changes from the store.
func (d *deployment) checkAnswer(v *vm, id, path string, a *imitator.Answer, sent time.Time, took time.Duration, steady bool) {
	if steady && took > deadlineMS*time.Millisecond+500*time.Millisecond {
		d.history.addViolation("%s %s: status %d came after %s, more than 500ms past the deadline", v.name, path, a.Status, took)
	}
	if a.Status == http.StatusNotFound && steady {
		d.history.addViolation("%s %s: status 404, but its route is configured", v.name, path)
	}
	if a.Status != http.StatusOK {
		return
	}
	if strings.HasPrefix(path, "/sweep/") {
		if err := imitator.CheckMerged(a, id, indexVersions, leastCoverage, recordLimit); err != nil {
			d.history.addViolation("%s %s: %v", v.name, path, err)
		}
		return
	}
	if len(a.Stamps) != 1 || !strings.HasSuffix(a.Stamps[0], "/"+id) || a.Body != string(imitator.ShardAnswer(a.Stamps[0])) {
		d.history.addViolation("%s %s: stamps %v and body %q are not one searcher's answer to this request", v.name, path, a.Stamps, a.Body)
		return
	}
	d.mu.Lock()
	storeDisturbedAt := d.storeDisturbedAt
	d.mu.Unlock()
	if !strings.HasPrefix(path, "/lookup/") || !steady || sent.Sub(storeDisturbedAt) < steadyWindow+applyWithin {
		return
	}
	service, _, _ := strings.Cut(a.Stamps[0], "/")
	if allowed := d.history.allowedLookups(sent.Add(-applyWithin)); !slices.Contains(allowed, service) {
		d.history.addViolation("%s %s ran at service %s, but the configurations that may be in force name %v", v.name, path, service, allowed)
	}
}

// checkRuns compares what all searchers ran with the answers that callers got, at the end of a soak.
func (d *deployment) checkRuns() {
	all := d.allReplicas()
	runs := map[string]int{}
	orderRuns := map[string]int{}
	for _, x := range all {
		for _, r := range x.Runs() {
			runs[r.ID]++
			if x.Service == "portal" {
				orderRuns[r.ID]++
			}
			d.checkLeaving(x, r)
		}
	}
	for _, x := range all {
		for _, r := range x.Requests() {
			id := imitator.RequestID(r)
			if strings.HasPrefix(r.URL.Path, "/book/") && orderRuns[id] > 1 {
				d.history.addViolation("order %s ran %d times, want at most once", r.URL.Path, orderRuns[id])
			}
		}
	}
	for id, failure := range d.history.brokenAtStop {
		if runs[id] > 0 {
			d.history.addViolation("request ran at a searcher, but its caller got no answer from a VM with planned stops only: %s", failure)
		}
	}
	for id := range d.history.refused {
		if runs[id] > 0 {
			d.history.addViolation("request %s was refused as not run, but ran %d times", id, runs[id])
		}
	}
}

// checkLeaving checks that a searcher that left runs no request more than drainWithin and 500 ms later. A VM that was
// disturbed later than steadyWindow before the searcher left may not know that the searcher left, and has this time from
// steadyWindow after its last disturbance on. If the store was disturbed since then, so do all VMs.
func (d *deployment) checkLeaving(x *replica, r imitator.Run) {
	if x.leftAt.IsZero() {
		return
	}
	d.mu.Lock()
	storeDisturbedAt := d.storeDisturbedAt
	d.mu.Unlock()
	for _, v := range d.vms {
		known := later(x.leftAt, later(storeDisturbedAt, v.undisturbedSince()).Add(steadyWindow))
		if v.addr == r.From && r.At.After(known.Add(drainWithin+500*time.Millisecond)) {
			d.history.addViolation("%s sent a request to searcher %s %s after the searcher left", v.name, x.ID, r.At.Sub(x.leftAt))
		}
	}
}

// refuseFor returns an override for the searcher that refuses requests and asks for none during the given time. It checks
// that at most two requests of an undisturbed VM come from half a second after its refusal to the end of that time.
func (d *deployment) refuseFor(x *replica, wait time.Duration) imitator.Override {
	var mu sync.Mutex
	refusedAt, late := map[netip.Addr]time.Time{}, map[netip.Addr]int{}
	refuse := imitator.RefuseFor(strconv.FormatFloat(wait.Seconds(), 'g', -1, 64))
	return func(w http.ResponseWriter, r *http.Request) bool {
		from, _ := netip.ParseAddrPort(r.RemoteAddr)
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		since := now.Sub(refusedAt[from.Addr()])
		switch {
		case since >= wait:
			refusedAt[from.Addr()], late[from.Addr()] = now, 0
		case since > time.Second/2 && d.undisturbedSince(from.Addr(), refusedAt[from.Addr()]):
			late[from.Addr()]++
		}
		if n := late[from.Addr()]; n == 3 {
			d.history.addViolation("searcher %s got a third request from %s, %s after it had asked for none during %s", x.ID, from.Addr(), since, wait)
		}
		return refuse(w, r)
	}
}

// undisturbedSince reports whether the VM at the address was not disturbed after the time.
func (d *deployment) undisturbedSince(a netip.Addr, t time.Time) bool {
	for _, v := range d.vms {
		if v.addr == a {
			return v.undisturbedSince().Before(t)
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare)
}
