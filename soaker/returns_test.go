package soaker

import (
	"syscall"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// returnsSeed is the seed of the first deployment of TestStoreReturnsTwiceOrToAFrozenVM.
const returnsSeed = 396

// freeze stops the process of a VM for the time, and excuses it as a restart does, from then until a second after.
func (r *returnTest) freeze(v *vm, d time.Duration) {
	from := time.Now()
	v.signal(syscall.SIGSTOP)
	r.wait(d)
	v.signal(syscall.SIGCONT)
	r.wait(time.Second)
	r.seenMu.Lock()
	defer r.seenMu.Unlock()
	r.restarts[v] = append(r.restarts[v], restart{from, time.Now()})
}

// Each case names the failure that it guards against.
func TestStoreReturnsTwiceOrToAFrozenVM(t *testing.T) {
	tests := []struct {
		name string
		run  func(r *returnTest)
	}{
		{"configuration stays old at a VM frozen during the return", func(r *returnTest) {
			r.changeRoutes(routeChange{whileAway: func() { r.freeze(r.vms[2], awayTime+time.Second) }})
		}},
		{"configuration stays old at a VM frozen during two returns", func(r *returnTest) {
			r.changeRoutes(routeChange{twice: true, whileAway: func() { r.freeze(r.vms[2], 2*awayTime+lostTime+time.Second) }})
		}},
		{"configuration stays old at a VM frozen between two returns", func(r *returnTest) {
			r.changeRoutes(routeChange{twice: true, whileAway: func() {
				r.wait(awayTime + lostTime/2)
				r.freeze(r.vms[0], lostTime/2+awayTime/2)
			}})
		}},
		{"searchers that two copies lack are given up", registrationsLostTwice},
	}
	binary := buildProgram(t)
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			testReturn(t, binary, returnsSeed+uint64(i), tt.run)
		})
	}
}

// registrationsLostTwice moves lookups to a service whose searchers write again after the second of two returns only, in time.
func registrationsLostTwice(r *returnTest) {
	const rewriteAfter = 1500 * time.Millisecond
	r.writeEntries(2)
	var keys []string
	r.withChangeLock(func() {
		for range 2 {
			keys = append(keys, "servers/"+r.addReplica("new-1").ID)
		}
	})
	r.wait(lostTime / 4)
	r.publish("new-1", "")
	r.awaitInForce()
	r.wait(time.Until(r.copiedAt.Add(lostTime)))
	r.awayFor(awayTime)
	r.wait(lostTime)
	lost := r.awayFor(awayTime / 2)
	keys = append(keys, imitator.ConfigurationKey)
	r.rewriteLater(lost, keys...)
	r.rewriteAfter(rewriteAfter, keys...)
	r.wait(applyWithin)
}
