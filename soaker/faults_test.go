package soaker

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// fault is one kind of fault that a soak injects; inject returns when the fault is over.
type fault struct {
	name   string
	inject func(d *deployment, p *faultParams)
}

// faultParams are the targets, the duration and the variant of a fault. All are drawn from the seed before the fault
// starts, and each fault uses those that it needs.
type faultParams struct {
	vm        *vm
	replica   *replica
	override  imitator.Override
	linkState faker.LinkState
	duration  time.Duration
	variant   bool // selects one of two variants: how a searcher drains, or the service of lookups
	copyAge   time.Duration
	order     uint64 // seed of how many changes the store loses, and of the order in which they are written again
}

var faults = []fault{
	{"vm is killed and restarted", func(d *deployment, p *faultParams) {
		<-p.vm.signal(syscall.SIGKILL)
		d.wait(p.duration / 4)
		d.start(p.vm)
	}},
	{"vm is stopped and restarted", func(d *deployment, p *faultParams) {
		d.awaitExit(p.vm, p.vm.signal(syscall.SIGTERM))
		d.start(p.vm)
	}},
	{"vm gets further signals as it stops", func(d *deployment, p *faultParams) {
		exited := p.vm.signal(syscall.SIGTERM)
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			d.wait(p.duration / 8)
			p.vm.signal(s)
		}
		d.awaitExit(p.vm, exited)
		d.start(p.vm)
	}},
	{"vm is paused", func(d *deployment, p *faultParams) {
		p.vm.signal(syscall.SIGSTOP)
		d.wait(p.duration)
		p.vm.signal(syscall.SIGCONT)
	}},
	{"vm reads its settings again", func(_ *deployment, p *faultParams) { p.vm.signal(syscall.SIGHUP) }},
	{"vm's link to the store", func(d *deployment, p *faultParams) {
		link := "store " + p.vm.addr.String()
		d.setLink(link, p.linkState)
		d.storeProxy.Refresh()
		// Marked again and again, so that the VM counts as disturbed for as long as the fault lasts.
		for end := time.Now().Add(p.duration); time.Now().Before(end); d.wait(100 * time.Millisecond) {
			p.vm.markUnplannedDisturbance()
		}
		d.setLink(link, faker.LinkUp)
		p.vm.markUnplannedDisturbance()
	}},
	{"store refuses", func(d *deployment, p *faultParams) {
		d.awayMu.Lock()
		defer d.awayMu.Unlock()
		d.disturbStore(p.duration, func() { d.store.SetRefusing(http.StatusServiceUnavailable) })
		d.store.SetRefusing(0)
		d.disturbStore(0, func() {}) // records the end of the disturbance
	}},
	{"store drops its history", func(d *deployment, _ *faultParams) { d.store.DropHistory() }},
	{"searcher misbehaves", func(d *deployment, p *faultParams) {
		p.replica.SetOverride(p.override)
		d.wait(p.duration)
		p.replica.SetOverride(nil)
	}},
	{"searcher's link", func(d *deployment, p *faultParams) {
		d.setLink(p.replica.ID, p.linkState)
		p.replica.proxy.Refresh()
		d.wait(p.duration)
		d.setLink(p.replica.ID, faker.LinkUp)
	}},
	{"searcher drains and is replaced", func(d *deployment, p *faultParams) {
		d.retire(p.replica, p.variant)
		d.wait(drainWithin + time.Second)
	}},
	{"configuration changes", func(d *deployment, p *faultParams) {
		lookup := "portal"
		if p.variant {
			lookup = "board"
		}
		d.withChangeLock(func() { d.publish(lookup, d.currentIndexVersion()) })
	}},
	{"index is resharded", func(d *deployment, _ *faultParams) { d.withChangeLock(d.reshard) }},
}

// storeReturns is drawn apart from the other faults, so that what a seed draws of them does not depend on it.
var storeReturns = fault{"store comes back from an older copy", func(d *deployment, p *faultParams) {
	d.withChangeLock(func() {
		d.awayMu.Lock()
		defer d.awayMu.Unlock()
		rnd := rand.New(rand.NewPCG(p.order, p.order))
		d.writeEntries(rnd.IntN(maxLostWrites))
		d.disturbStore(p.duration/4, d.stopStore)
		lost := d.returnStore(later(time.Now().Add(-p.copyAge), d.readyAt))
		d.disturbStore(0, func() { d.rewriteAll(lost, rnd, d.rewrite) })
	})
}}

// rewriteWithin is how long after the return of the store its writers take to write again what it lost.
const rewriteWithin = 2 * time.Second

// maxLostWrites bounds how often each searcher writes its entry right before the store goes away, so that the store's
// revisions may stay far below the lost ones.
const maxLostWrites = 5

// writeEntries writes the entries of all searchers again, some times each.
func (d *deployment) writeEntries(times int) {
	for range times {
		for _, x := range d.allReplicas() {
			if x.state != "" {
				d.register(x, x.state)
			}
		}
	}
}

// stopStore makes the store refuse all calls, and cuts its connections.
func (d *deployment) stopStore() {
	d.store.SetRefusing(http.StatusServiceUnavailable)
	d.store.CloseClientConnections()
}

// returnStore makes the store what it was at the time, and lets it answer again. It returns the keys whose changes were lost.
func (d *deployment) returnStore(at time.Time) (lost []string) {
	d.epoch++
	lost = d.store.ReturnFrom(at, strconv.Itoa(d.epoch))
	d.store.SetRefusing(0)
	return lost
}

// rewriteAll has the keys written again in random order, at random times within rewriteWithin.
func (d *deployment) rewriteAll(keys []string, rnd *rand.Rand, rewrite func(key string)) {
	delays := map[string]time.Duration{}
	for _, k := range keys {
		delays[k] = time.Duration(rnd.Int64N(int64(rewriteWithin)))
	}
	start := time.Now()
	for _, k := range slices.SortedFunc(slices.Values(keys), func(a, b string) int { return cmp.Compare(delays[a], delays[b]) }) {
		d.wait(time.Until(start.Add(delays[k])))
		rewrite(k)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// drawReturn picks at random whether the store comes back from an older copy next, and the parameters of that fault.
func (d *deployment) drawReturn() (p *faultParams, ok bool) {
	ok = d.returnRnd.IntN(returnShare) == 0
	return &faultParams{
		duration: time.Duration(300+d.returnRnd.IntN(2500)) * time.Millisecond,
		copyAge:  time.Duration(1000+d.returnRnd.IntN(4000)) * time.Millisecond,
		order:    d.returnRnd.Uint64(),
	}, ok
}

// returnShare is how many other faults are drawn for each return of the store from an older copy, on average.
const returnShare = 25

// awaitExit waits for the exit of a VM that got SIGTERM. After killAfter it records a violation and kills the VM.
func (d *deployment) awaitExit(v *vm, exited <-chan struct{}) {
	select {
	case <-exited:
	case <-time.After(killAfter):
		d.history.addViolation("%s did not exit within %s of SIGTERM", v.name, killAfter)
		<-v.signal(syscall.SIGKILL)
	}
}

// wait sleeps for the period, or until the context ends.
func (d *deployment) wait(period time.Duration) {
	select {
	case <-time.After(period):
	case <-d.ctx.Done():
	}
}

// disturbStore applies change to the store, and counts the store as disturbed from then until the duration is over.
func (d *deployment) disturbStore(duration time.Duration, change func()) {
	change()
	for end := time.Now().Add(duration); ; d.wait(100 * time.Millisecond) {
		d.mu.Lock()
		d.storeDisturbedAt = time.Now()
		d.mu.Unlock()
		if !time.Now().Before(end) {
			return
		}
	}
}

// drawFault picks a fault and its parameters at random.
func (d *deployment) drawFault() (fault, *faultParams) {
	f := faults[d.rnd.IntN(len(faults))]
	d.mu.Lock()
	defer d.mu.Unlock()
	var replicas []*replica
	for _, id := range sortedKeys(d.replicas) {
		replicas = append(replicas, d.replicas[id])
	}
	x := replicas[d.rnd.IntN(len(replicas))]
	overrides := []imitator.Override{imitator.Shed, imitator.Hang, x.DropConnection, x.Fail, x.Cross, x.Truncate, func(_ http.ResponseWriter, _ *http.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return false
	}}
	states := []faker.LinkState{faker.LinkCut, faker.LinkSilent, faker.LinkSlow, faker.LinkOneWay}
	p := &faultParams{vm: d.vms[d.rnd.IntN(len(d.vms))], replica: x}
	kind := d.rnd.IntN(len(overrides))
	p.override = overrides[kind]
	p.linkState = states[d.rnd.IntN(len(states))]
	p.duration = time.Duration(300+d.rnd.IntN(2500)) * time.Millisecond
	p.variant = d.rnd.IntN(2) == 0
	if kind == 0 && p.variant {
		p.override = d.refuseFor(x, refuseTime)
	}
	return f, p
}

// refuseTime is how long a searcher that refuses requests asks for none.
const refuseTime = 1500 * time.Millisecond

// retire starts a replacement for a searcher, then takes the searcher out of use. The searcher's entry in the store
// changes to draining if announce is set, and is removed otherwise. A searcher that is already retired is left alone.
func (d *deployment) retire(x *replica, announce bool) {
	d.withChangeLock(func() {
		d.mu.Lock()
		retired := !x.leftAt.IsZero()
		d.mu.Unlock()
		if retired {
			return
		}
		d.addReplica(x.Service)
		x.SetOverride(imitator.Leave)
		if announce {
			d.register(x, "draining")
		} else {
			d.unregister(x)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		x.leftAt = time.Now()
		delete(d.replicas, x.ID)
		d.retired = append(d.retired, x)
	})
}

// reshard starts the searchers of the other index version, and publishes that version a second later. It removes the
// searchers of the old version after applyWithin and steadyWindow, when every VM should use the new version.
func (d *deployment) reshard() {
	next := 1 - d.currentIndexVersion()
	for _, s := range indexVersions[next] {
		for range 2 {
			d.addReplica(s)
		}
	}
	d.wait(time.Second)
	d.publish(d.history.lookupService(), next)
	old := indexVersions[1-next]
	d.wait(applyWithin + steadyWindow)
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, x := range d.replicas {
		for _, s := range old {
			if x.Service == s {
				d.unregister(x)
				x.leftAt = time.Now()
				delete(d.replicas, id)
				d.retired = append(d.retired, x)
			}
		}
	}
}
