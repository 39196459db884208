package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed   = flag.Uint64("soak.seed", 1, "first seed")
	seedCount   = flag.Int("soak.seeds", 2, "number of seeds")
	faultPeriod = flag.Duration("soak.length", 12*time.Second, "how long faults are injected for each seed")
	vmCount     = flag.Int("soak.vms", 3, "number of VMs, each a process of the program")
	callerCount = flag.Int("soak.callers", 12, "number of callers")
)

// failedSeeds are seeds with which the test has failed, with the cause if it is known. Every run of the test includes
// them.
var failedSeeds = []uint64{
	410, // a second SIGTERM or a SIGHUP terminated a draining VM
	416, // same cause as 410
	// On a loaded machine requests reached a searcher 3.7 s after it left, and an answer came 2.1 s after its request. The
	// cause is unknown.
	709,
	707,  // on a loaded machine: a VM did not exit within its grace period; cause unknown
	2854, // on a loaded machine: two answers of one VM came 2.8 s past their deadline, together; cause unknown
}

// maxParallelSeeds bounds how many seeds run at a time, because each starts several processes.
const maxParallelSeeds = 4

// recoveryPeriod is how long requests go on after the last fault, before the check that every VM has recovered.
const recoveryPeriod = 7 * time.Second

func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pistachiogap")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "..").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return binary
}

func TestSoak(t *testing.T) {
	binary := buildProgram(t)
	all := append([]uint64{}, failedSeeds...)
	for i := range *seedCount {
		if seed := *firstSeed + uint64(i); !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	slots := make(chan struct{}, maxParallelSeeds)
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, binary, seed)
		})
	}
}

// soak runs a deployment under the requests and faults of one seed. It fails on the violations that the checks record,
// and if less than a quarter of the requests were served.
func soak(t *testing.T, binary string, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, binary, seed, *vmCount)
	defer d.stop()
	d.waitReady()
	d.readyAt = time.Now()
	var wg sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(ctx)
	for n := range *callerCount {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)+1))
		wg.Go(func() { d.runCaller(callersCtx, n, rnd.IntN) })
	}
	d.injectFaults()
	d.wait(recoveryPeriod)
	d.checkRecovered()
	stopCallers()
	wg.Wait()
	d.checkRuns()
	h := d.history
	t.Logf("seed %d: %d of %d requests served", seed, h.served, h.requests)
	for i, v := range h.violations {
		if i == 10 {
			t.Errorf("and %d more violations", len(h.violations)-i)
			break
		}
		t.Error(v)
	}
	if 4*h.served < h.requests {
		t.Errorf("%d of %d requests served, want at least a quarter", h.served, h.requests)
	}
}

// injectFaults starts faults at random intervals, so that they overlap, and waits until all are over. A VM is drawn for
// every fault, even a fault of the store or of a searcher. A fault is left out while an earlier one with the same VM
// lasts. A return of the store from an older copy belongs to no VM and is never left out.
func (d *deployment) injectFaults() {
	var wg sync.WaitGroup
	busy := map[*vm]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(*faultPeriod); time.Now().Before(end); d.wait(time.Duration(d.rnd.IntN(900)) * time.Millisecond) {
		f, p := d.drawFault()
		if p, ok := d.drawReturn(); ok {
			_, _ = fmt.Fprintf(d.vms[0].log, "soak: %s %s: for %s, %s old\n", time.Now().UTC().Format(time.RFC3339Nano), storeReturns.name, p.duration/4, p.copyAge)
			wg.Go(func() { storeReturns.inject(d, p) })
		}
		mu.Lock()
		wasBusy := busy[p.vm]
		busy[p.vm] = true
		mu.Unlock()
		if wasBusy {
			continue
		}
		_, _ = fmt.Fprintf(d.vms[0].log, "soak: %s %s: %s %s for %s\n", time.Now().UTC().Format(time.RFC3339Nano), f.name, p.vm.name, p.replica.ID, p.duration)
		wg.Go(func() {
			f.inject(d, p)
			mu.Lock()
			defer mu.Unlock()
			delete(busy, p.vm)
		})
	}
	wg.Wait()
}

// waitReady waits until the readiness endpoint of every VM answers 200, for 10 s each at the most.
func (d *deployment) waitReady() {
	for _, v := range d.vms {
		for end := time.Now().Add(10 * time.Second); ; d.wait(20 * time.Millisecond) {
			res, err := http.Get("http://" + v.readyAddr.String() + "/-/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				d.t.Fatalf("%s did not become ready within 10s", v.name)
			}
		}
	}
}

// checkRecovered checks that every VM is ready and answers a sweep and a lookup with 200 once the faults are over. It
// sends the lookup when the store has been undisturbed for so long that the configuration is checked too.
func (d *deployment) checkRecovered() {
	d.waitReady()
	for i, v := range d.vms {
		if status := d.request(d.ctx, http.DefaultClient, v, fmt.Sprintf("recovered-%d", i), 0); status != http.StatusOK {
			d.history.addViolation("%s answered a sweep with status %d after the end of the faults, not 200", v.name, status)
		}
	}
	d.mu.Lock()
	steadyAt := d.storeDisturbedAt.Add(steadyWindow + applyWithin)
	d.mu.Unlock()
	d.wait(time.Until(steadyAt) + time.Millisecond)
	for i, v := range d.vms {
		if status := d.request(d.ctx, http.DefaultClient, v, fmt.Sprintf("recovered-lookup-%d", i), 5); status != http.StatusOK {
			d.history.addViolation("%s answered a lookup with status %d after the end of the faults, not 200", v.name, status)
		}
	}
}

// withChangeLock runs f, a planned change of the deployment, while no other planned change runs.
func (d *deployment) withChangeLock(f func()) {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	f()
}

// currentIndexVersion returns the position in indexVersions of the version that was published last.
func (d *deployment) currentIndexVersion() int { return d.indexVersion }

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
