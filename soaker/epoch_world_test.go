package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// observation is what a caller saw of one request.
type observation struct {
	vm         *vm
	startCount int // of the VM's starts when the request was sent; -1 if it started again before the answer
	route      string
	id         string
	sent, done time.Time
	status     int    // 0 without an answer
	service    string // of the searcher that answered, except on the route sweep
	err        error
}

// acknowledged is a configuration that the store has acknowledged.
type acknowledged struct {
	lookup  string // service of the route lookup
	omitted string // route that is left out, if any
	at      time.Time
}

// allows reports whether a VM may answer the request so with the configuration in force.
func (c *acknowledged) allows(o *observation) bool {
	switch o.status {
	case http.StatusNotFound:
		return o.route == c.omitted
	case http.StatusOK:
		return o.route != c.omitted && (o.route != "lookup" || o.service == c.lookup)
	}
	return true
}

// restart is the time from the signal that ends a VM's process to the readiness of the next.
type restart struct{ from, to time.Time }

// returnTest is a deployment whose store comes back from an older copy, and what its callers saw.
type returnTest struct {
	*deployment
	rnd            *rand.Rand
	copiedAt       time.Time
	configurations []acknowledged
	rewrites       sync.WaitGroup

	seenMu     sync.Mutex // guards what follows
	seen       []observation
	startCount map[*vm]int
	restarts   map[*vm][]restart
}

// runCaller sends requests for one route to one VM, over one kept connection, until the context ends.
func (r *returnTest) runCaller(ctx context.Context, v *vm, route string) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r.observe(ctx, c, v, route, fmt.Sprintf("%s-%s-%d", v.name, route, n))
		r.wait(requestPause)
	}
}

// observe sends one request, checks its answer and records it. A request that the end of the context breaks is not
// recorded.
func (r *returnTest) observe(ctx context.Context, c *http.Client, v *vm, route, id string) {
	o := observation{vm: v, startCount: r.startsOf(v), route: route, id: id, sent: time.Now()}
	path := "/" + route + "/" + id
	a, err := imitator.Ask(ctx, c, v.callersAddr, callersRoutes[route], callersHost, path, "", id, deadlineMS)
	if err != nil && ctx.Err() != nil {
		return
	}
	o.done, o.err, o.status = time.Now(), err, a.Status
	if err == nil {
		r.checkAnswer(v, id, path, &a, o.sent, o.done.Sub(o.sent), false)
	}
	if a.Status == http.StatusOK && route != "sweep" && len(a.Stamps) > 0 {
		o.service, _, _ = strings.Cut(a.Stamps[0], "/")
	}
	if r.startsOf(v) != o.startCount {
		o.startCount = -1
	}
	r.seenMu.Lock()
	defer r.seenMu.Unlock()
	r.seen = append(r.seen, o)
}

func (r *returnTest) startsOf(v *vm) int {
	r.seenMu.Lock()
	defer r.seenMu.Unlock()
	return r.startCount[v]
}

// publish writes the next configuration and records its acknowledgement.
func (r *returnTest) publish(lookup, omitted string) {
	r.withChangeLock(func() {
		r.omittedRoute = omitted
		r.deployment.publish(lookup, 0)
	})
	r.configurations = append(r.configurations, acknowledged{lookup, omitted, time.Now()})
}

// awaitInForce waits until each VM has answered as the newest configuration alone allows, or until it is so late that
// checkInForce finds that they don't.
func (r *returnTest) awaitInForce() {
	newest := r.configurations[len(r.configurations)-1]
	due := newest.at
	for _, all := range r.restarts {
		for _, x := range all {
			due = later(due, x.to)
		}
	}
	for end := due.Add(applyWithin + seenFor); time.Now().Before(end); r.wait(20 * time.Millisecond) {
		current := map[*vm]bool{}
		r.seenMu.Lock()
		for _, o := range r.seen {
			if o.startCount == r.startCount[o.vm] && o.status == http.StatusOK && o.route == "lookup" && o.service == newest.lookup {
				current[o.vm] = true
			}
		}
		r.seenMu.Unlock()
		if len(current) == len(r.vms) {
			return
		}
	}
}

// writeEntries writes the entries of all searchers again, some times each.
func (r *returnTest) writeEntries(times int) {
	r.withChangeLock(func() { r.deployment.writeEntries(times) })
}

// rewriteLater writes again what the store lost, in random order within rewriteWithin, except the given keys.
func (r *returnTest) rewriteLater(lost []string, except ...string) {
	keys := slices.DeleteFunc(slices.Clone(lost), func(k string) bool { return slices.Contains(except, k) })
	rnd := rand.New(rand.NewPCG(r.rnd.Uint64(), 0))
	r.rewrites.Go(func() {
		r.rewriteAll(keys, rnd, func(key string) { r.withChangeLock(func() { r.rewrite(key) }) })
	})
}

// rewriteAfter writes the keys again after a time.
func (r *returnTest) rewriteAfter(after time.Duration, keys ...string) {
	r.rewrites.Go(func() {
		r.wait(after)
		for _, k := range keys {
			r.withChangeLock(func() { r.rewrite(k) })
		}
	})
}

// killAndStart kills the process of a VM, starts the next, and waits until it is ready.
func (r *returnTest) killAndStart(v *vm) {
	from := time.Now()
	<-v.signal(syscall.SIGKILL)
	r.startAgain(v, from)
}

// stopAndStart stops the process of a VM with SIGTERM, starts the next, and waits until it is ready.
func (r *returnTest) stopAndStart(v *vm) {
	from := time.Now()
	r.awaitExit(v, v.signal(syscall.SIGTERM))
	r.startAgain(v, from)
}

func (r *returnTest) startAgain(v *vm, from time.Time) {
	r.seenMu.Lock()
	r.startCount[v]++
	r.seenMu.Unlock()
	r.start(v)
	r.waitReady()
	r.seenMu.Lock()
	defer r.seenMu.Unlock()
	r.restarts[v] = append(r.restarts[v], restart{from, time.Now()})
}

// awayFor takes the store away for the time and returns it from the copy. It returns the keys whose changes were lost.
func (r *returnTest) awayFor(away time.Duration) (lost []string) {
	r.stopStore()
	r.wait(away)
	return r.returnStore(r.copiedAt)
}
