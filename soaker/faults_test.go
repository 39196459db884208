package soaker

import (
	"net/http"
	"syscall"
	"time"

	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// fault is one kind of trouble; it returns when it is over.
type fault struct {
	name string
	play func(w *world, p *pick)
}

// pick is what a fault hits and for how long, drawn by the seed before it starts.
type pick struct {
	vm      *vm
	replica *replica
	treat   imitator.Treat
	state   faker.LinkState
	last    time.Duration
	flag    bool
}

var faults = []fault{
	{"vm is killed and restarted", func(w *world, p *pick) {
		<-p.vm.signal(syscall.SIGKILL)
		w.wait(p.last / 4)
		w.start(p.vm)
	}},
	{"vm is stopped and restarted", func(w *world, p *pick) {
		w.awaitEnd(p.vm, p.vm.signal(syscall.SIGTERM))
		w.start(p.vm)
	}},
	{"vm gets signals in series as it stops", func(w *world, p *pick) {
		ended := p.vm.signal(syscall.SIGTERM)
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			w.wait(p.last / 8)
			p.vm.signal(s)
		}
		w.awaitEnd(p.vm, ended)
		w.start(p.vm)
	}},
	{"vm is paused", func(w *world, p *pick) {
		p.vm.signal(syscall.SIGSTOP)
		w.wait(p.last)
		p.vm.signal(syscall.SIGCONT)
	}},
	{"vm reads its settings again", func(_ *world, p *pick) { p.vm.signal(syscall.SIGHUP) }},
	{"vm's link to the store", func(w *world, p *pick) {
		link := "store " + p.vm.addr.String()
		w.setLink(link, p.state)
		w.gate.Refresh()
		for end := time.Now().Add(p.last); time.Now().Before(end); w.wait(100 * time.Millisecond) {
			p.vm.disturb()
		}
		w.setLink(link, faker.LinkUp)
		p.vm.disturb()
	}},
	{"store refuses", func(w *world, p *pick) {
		w.disturbStore(p.last, func() { w.store.SetRefusing(http.StatusServiceUnavailable) })
		w.store.SetRefusing(0)
		w.disturbStore(0, func() {})
	}},
	{"store drops its history", func(w *world, _ *pick) { w.store.Forget() }},
	{"searcher misbehaves", func(w *world, p *pick) {
		p.replica.Behave(p.treat)
		w.wait(p.last)
		p.replica.Behave(nil)
	}},
	{"searcher's link", func(w *world, p *pick) {
		w.setLink(p.replica.ID, p.state)
		p.replica.proxy.Refresh()
		w.wait(p.last)
		w.setLink(p.replica.ID, faker.LinkUp)
	}},
	{"searcher drains and is replaced", func(w *world, p *pick) {
		w.retire(p.replica, p.flag)
		w.wait(drainWithin + time.Second)
	}},
	{"configuration changes", func(w *world, p *pick) {
		lookup := "portal"
		if p.flag {
			lookup = "board"
		}
		w.planMu(func() { w.publish(lookup, w.version()) })
	}},
	{"index is cut anew", func(w *world, _ *pick) { w.planMu(w.reshard) }},
}

// awaitEnd waits for a VM that was told to stop, and kills it when its time is over.
func (w *world) awaitEnd(v *vm, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-time.After(killAfter):
		w.history.violation("%s did not end within %s of SIGTERM", v.name, killAfter)
		<-v.signal(syscall.SIGKILL)
	}
}

func (w *world) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

func (w *world) disturbStore(last time.Duration, change func()) {
	change()
	for end := time.Now().Add(last); ; w.wait(100 * time.Millisecond) {
		w.mu.Lock()
		w.storeBad = time.Now()
		w.mu.Unlock()
		if !time.Now().Before(end) {
			return
		}
	}
}

// draw picks a fault and what it hits.
func (w *world) draw() (fault, *pick) {
	f := faults[w.rnd.IntN(len(faults))]
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []*replica
	for _, id := range sortedKeys(w.replicas) {
		ids = append(ids, w.replicas[id])
	}
	x := ids[w.rnd.IntN(len(ids))]
	treats := []imitator.Treat{imitator.Shed, imitator.Hang, x.Lose, x.Fail, x.Cross, x.Truncate, func(_ http.ResponseWriter, _ *http.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return false
	}}
	states := []faker.LinkState{faker.LinkCut, faker.LinkSilent, faker.LinkSlow, faker.LinkOneWay}
	return f, &pick{
		vm: w.vms[w.rnd.IntN(len(w.vms))], replica: x, treat: treats[w.rnd.IntN(len(treats))], state: states[w.rnd.IntN(len(states))],
		last: time.Duration(300+w.rnd.IntN(2500)) * time.Millisecond, flag: w.rnd.IntN(2) == 0,
	}
}

// retire takes a searcher out: it says that it drains, or only its entry goes; its successor starts first.
func (w *world) retire(x *replica, told bool) {
	w.planMu(func() {
		w.mu.Lock()
		gone := !x.leftAt.IsZero()
		w.mu.Unlock()
		if gone {
			return
		}
		w.addReplica(x.Service)
		if told {
			w.store.Put("servers/"+x.ID, x.Entry("draining", x.proxy.Address.String()))
		} else {
			w.store.Remove("servers/" + x.ID)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		x.leftAt = time.Now()
		delete(w.replicas, x.ID)
		w.gone = append(w.gone, x)
	})
}

// reshard starts the searchers of the other version of the index, and names them a while later; the old ones drain once that is due everywhere.
func (w *world) reshard() {
	next := 1 - w.version()
	for _, s := range indexVersions[next] {
		for range 2 {
			w.addReplica(s)
		}
	}
	w.wait(time.Second)
	w.publish(w.history.lookup(), next)
	old := indexVersions[1-next]
	w.wait(applyWithin + steadyWindow)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, x := range w.replicas {
		for _, s := range old {
			if x.Service == s {
				w.store.Remove("servers/" + id)
				x.leftAt = time.Now()
				delete(w.replicas, id)
				w.gone = append(w.gone, x)
			}
		}
	}
}
