package soaker

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Times of the tests in which the store comes back from an older copy.
const (
	settleTime   = 1700 * time.Millisecond // from the VMs' readiness to the copy
	lostTime     = time.Second             // from the copy to the time when the store goes away
	awayTime     = time.Second             // from then to its return
	requestPause = 30 * time.Millisecond   // of each caller
	seenFor      = 500 * time.Millisecond  // how long requests go on after the time from which a check holds
)

// maxParallelReturns bounds how many deployments run at a time, because each has three processes.
const maxParallelReturns = 3

// firstReturnSeed is the seed of the first deployment. TestSoak's failed seeds use other networks.
const firstReturnSeed = 180

// callersRoutes are the routes of the configurations, each with the method of its requests.
var callersRoutes = map[string]string{"sweep": http.MethodGet, "lookup": http.MethodGet, "book": http.MethodPost}

// Each case names the failure that it guards against.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	tests := []struct {
		name string
		run  func(r *returnTest)
	}{
		{"configuration stays old after a long absence", func(r *returnTest) { r.changeRoutes(routeChange{away: 6 * time.Second}) }},
		{"configuration stays old", func(r *returnTest) { r.changeRoutes(routeChange{}) }},
		{"configuration goes back before it is written again", func(r *returnTest) { r.changeRoutes(routeChange{rewriteAfter: rewriteWithin}) }},
		{"configuration stays old at a VM started while the store is away", func(r *returnTest) {
			r.changeRoutes(routeChange{whileAway: func() { r.killAndStart(r.vms[2]) }})
		}},
		{"configuration stays old at a VM started at the return", func(r *returnTest) {
			r.changeRoutes(routeChange{rewriteAfter: rewriteWithin, afterReturn: func() { r.killAndStart(r.vms[2]) }})
		}},
		{"configuration stays old at a VM without the store", func(r *returnTest) { r.changeRoutes(routeChange{cut: r.vms[0]}) }},
		{"configuration stays old after two returns", func(r *returnTest) { r.changeRoutes(routeChange{twice: true}) }},
		{"configuration stays old without status 410", func(r *returnTest) { r.changeRoutes(routeChange{overtaken: true}) }},
		{"configuration stays old during a rolling restart", func(r *returnTest) { r.changeRoutes(routeChange{rolling: true}) }},
		{"lost drain is undone by the copy", lostDrain},
		{"lost removal is undone by the copy", lostRemoval},
		{"drain after the return is not seen", func(r *returnTest) { leaveAfterReturn(r, "draining") }},
		{"removal after the return is not seen", func(r *returnTest) { leaveAfterReturn(r, "") }},
		{"drain is not seen without status 410", overtakenDrain},
		{"searchers that the copy lacks are given up", lostRegistrations},
		{"searchers that lapsed are given up", lapsedRegistrations},
		{"lost history in one epoch counts as a return", lostHistory},
	}
	binary := buildProgram(t)
	slots := make(chan struct{}, maxParallelReturns)
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			testReturn(t, binary, firstReturnSeed+uint64(i), tt.run)
		})
	}
}

// testReturn runs a case while callers send requests to all routes of all VMs, and checks what they and the searchers saw.
func testReturn(t *testing.T, binary string, seed uint64, run func(r *returnTest)) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &returnTest{
		deployment: newDeployment(ctx, t, binary, seed, 3), rnd: rand.New(rand.NewPCG(seed, seed)),
		startCount: map[*vm]int{}, restarts: map[*vm][]restart{},
	}
	defer r.stop()
	r.configurations = []acknowledged{{lookup: "portal", at: time.Now()}}
	r.waitReady()
	var callers sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(ctx)
	for _, v := range r.vms {
		for route := range callersRoutes {
			callers.Go(func() { r.runCaller(callersCtx, v, route) })
		}
	}
	r.wait(settleTime)
	r.copiedAt = time.Now()
	run(r)
	r.rewrites.Wait()
	stopCallers()
	callers.Wait()
	r.checkRuns()
	r.checkServed()
	r.checkInForce()
	r.checkOrder()
	t.Logf("%d requests", len(r.seen))
	for i, v := range r.history.violations {
		if i == 10 {
			t.Errorf("and %d more violations", len(r.history.violations)-i)
			break
		}
		t.Error(v)
	}
}

// routeChange varies changeRoutes.
type routeChange struct {
	away         time.Duration // awayTime if it is 0
	rewriteAfter time.Duration // from the return to the second writing of the configuration; 400 ms if it is 0
	whileAway    func()
	afterReturn  func()
	cut          *vm  // has no link to the store from before it goes away until 3 s after its return
	twice        bool // whether the store returns once more, from a copy made at its first return
	overtaken    bool // whether its revision is above what the VMs hold before they can read
	rolling      bool // whether all VMs are stopped and started in turn meanwhile
}

// changeRoutes publishes a configuration that the store loses, writes it again after the return, and publishes a newer one,
// which adds a route and drops another.
func (r *returnTest) changeRoutes(c routeChange) {
	r.writeEntries(3)
	r.publish("board", "sweep")
	r.wait(time.Until(r.copiedAt.Add(lostTime)))
	var restarted sync.WaitGroup
	if c.rolling {
		restarted.Go(func() {
			for _, v := range r.vms {
				r.stopAndStart(v)
			}
		})
	}
	if c.cut != nil {
		r.setLink("store "+c.cut.addr.String(), faker.LinkCut)
		r.storeProxy.Refresh()
	}
	r.stopStore()
	if c.whileAway != nil {
		restarted.Go(c.whileAway)
	}
	r.wait(max(c.away, awayTime))
	switch {
	case c.overtaken:
		r.returnOvertaken()
	case c.twice:
		returnedAt := time.Now()
		lost := r.returnStore(r.copiedAt)
		r.rewriteLater(lost)
		r.wait(lostTime)
		r.stopStore()
		r.wait(awayTime)
		r.returnStore(returnedAt)
		r.rewriteChange(lost, &c, &restarted)
	default:
		r.rewriteChange(r.returnStore(r.copiedAt), &c, &restarted)
	}
	if c.cut != nil {
		r.wait(2 * time.Second)
		r.setLink("store "+c.cut.addr.String(), faker.LinkUp)
	}
	restarted.Wait()
	r.rewrites.Wait()
	r.awaitInForce()
	r.wait(seenFor)
}

// rewriteChange writes again what the store lost, and publishes the newer configuration after that of the operator.
func (r *returnTest) rewriteChange(lost []string, c *routeChange, restarted *sync.WaitGroup) {
	const operatorPause = 600 * time.Millisecond
	if c.afterReturn != nil {
		restarted.Go(c.afterReturn)
	}
	r.rewriteLater(lost, imitator.ConfigurationKey)
	r.wait(max(c.rewriteAfter, 400*time.Millisecond))
	r.withChangeLock(func() { r.rewrite(imitator.ConfigurationKey) })
	r.wait(operatorPause)
	r.publish("old-1", "book")
}

// returnOvertaken returns the store with more changes than it has lost, so that a watch after the revision that the VMs hold
// has an answer. The configurations are written first, at revisions below that one.
func (r *returnTest) returnOvertaken() {
	r.store.ReturnFrom(r.copiedAt, "2")
	r.withChangeLock(func() { r.rewrite(imitator.ConfigurationKey) })
	r.publish("old-1", "book")
	r.writeEntries(4)
	r.store.SetRefusing(0)
}

// leave makes all searchers of the service portal leave but the one that ran the fewest requests: each registers the state,
// or removes its entry if the state is empty. It returns their keys and searchers, and the time of the last acknowledgement.
func (r *returnTest) leave(state string) (keys []string, leaving []*replica, left time.Time) {
	leaving = slices.DeleteFunc(r.allReplicas(), func(x *replica) bool { return x.Service != "portal" })
	slices.SortFunc(leaving, func(a, b *replica) int { return cmp.Compare(len(a.Runs()), len(b.Runs())) })
	leaving = leaving[1:]
	r.withChangeLock(func() {
		for _, x := range leaving {
			keys = append(keys, "servers/"+x.ID)
			if state == "" {
				r.unregister(x)
			} else {
				r.register(x, state)
			}
		}
	})
	return keys, leaving, time.Now()
}

func lostDrain(r *returnTest) {
	const rewriteAfter = 1500 * time.Millisecond
	r.writeEntries(2)
	keys, leaving, left := r.leave("draining")
	r.wait(lostTime / 2)
	lost := r.awayFor(2 * awayTime) // the copy names it as ready still at drainWithin after it left
	r.rewriteLater(lost, keys...)
	r.rewriteAfter(rewriteAfter, keys...)
	r.wait(time.Until(left.Add(drainWithin + 2500*time.Millisecond)))
	r.checkLeft(leaving, left)
}

func lostRemoval(r *returnTest) {
	const rewriteAfter = 3600 * time.Millisecond
	r.writeEntries(2)
	keys, leaving, left := r.leave("")
	r.wait(lostTime / 2)
	lost := r.awayFor(awayTime)
	r.rewriteLater(lost, keys...)
	r.rewriteAfter(rewriteAfter, keys...)
	r.wait(time.Until(left.Add(drainWithin + 2500*time.Millisecond)))
	r.checkLeft(leaving, left)
}

func leaveAfterReturn(r *returnTest, state string) {
	r.writeEntries(4)
	r.wait(lostTime)
	r.rewriteLater(r.awayFor(awayTime))
	r.wait(seenFor)
	_, leaving, left := r.leave(state)
	r.wait(drainWithin + 2*seenFor)
	r.checkLeft(leaving, left)
}

func overtakenDrain(r *returnTest) {
	r.writeEntries(2)
	r.wait(lostTime)
	r.stopStore()
	r.wait(awayTime)
	r.store.ReturnFrom(r.copiedAt, "2")
	_, leaving, left := r.leave("draining")
	r.writeEntries(1)
	r.fillHistory(30)
	r.store.SetRefusing(0)
	r.wait(drainWithin + 2*seenFor)
	r.checkLeft(leaving, left)
}

// fillHistory makes so many changes of one searcher's entry that name no other state.
func (r *returnTest) fillHistory(n int) {
	r.withChangeLock(func() {
		for _, x := range r.allReplicas() {
			if x.Service == "board" {
				for range n {
					r.register(x, x.state)
				}
				return
			}
		}
	})
}

// lostRegistrations moves lookups to a service all of whose searchers registered after the copy.
func lostRegistrations(r *returnTest) {
	const rewriteAfter = 1500 * time.Millisecond
	r.writeEntries(2)
	var except []string
	r.withChangeLock(func() {
		for range 2 {
			except = append(except, "servers/"+r.addReplica("new-1").ID)
		}
	})
	r.wait(lostTime / 4)
	r.publish("new-1", "")
	r.awaitInForce()
	r.wait(time.Until(r.copiedAt.Add(lostTime)))
	lost := r.awayFor(awayTime)
	except = append(except, imitator.ConfigurationKey)
	r.rewriteLater(lost, except...)
	r.rewriteAfter(rewriteAfter, except...)
	r.wait(applyWithin)
}

// lapsedRegistrations removes the entries of all searchers of the service portal before the store returns.
func lapsedRegistrations(r *returnTest) {
	const rewriteAfter = 1800 * time.Millisecond
	r.writeEntries(2)
	r.wait(lostTime)
	r.stopStore()
	r.wait(awayTime)
	lost := r.store.ReturnFrom(r.copiedAt, "2")
	var lapsed []string
	for _, x := range r.allReplicas() {
		if x.Service == "portal" {
			r.store.Remove("servers/" + x.ID)
			lapsed = append(lapsed, "servers/"+x.ID)
		}
	}
	r.store.SetRefusing(0)
	r.rewriteLater(lost, lapsed...)
	r.rewriteAfter(rewriteAfter, lapsed...)
	r.wait(rewriteWithin + drainWithin)
}

// lostHistory makes the store discard changes that the VMs lack, three times in the same epoch.
func lostHistory(r *returnTest) {
	const drops = 3
	before := r.store.ListCount()
	r.publish("board", "sweep")
	r.awaitInForce()
	for range drops {
		r.stopStore()
		r.wait(awayTime / 2)
		r.writeEntries(1)
		r.store.DropHistory()
		r.store.SetRefusing(0)
		r.wait(awayTime)
	}
	if n, most := r.store.ListCount()-before, drops*len(r.vms); n > most {
		r.history.addViolation("the store was listed %d times, want %d at the most", n, most)
	}
	r.publish("old-1", "book")
	r.awaitInForce()
	r.wait(seenFor)
}
