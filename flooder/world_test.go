package flooder

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// What the users' pages give the smallest VM, and what their configuration allows a client.
const (
	memoryMB        = 160
	descriptorLimit = 4100
	fileDescriptors = 200 // of the descriptor limit, kept for files; sockets share the rest
	maxHeaderBytes  = 16384
	maxBodyBytes    = 262144
	headerTimeout   = 3 * time.Second
	idleTimeout     = 15 * time.Second
	shardCount      = 36
)

// runawayBytes is the memory at which a VM is killed, to spare the machine of the test.
const runawayBytes = 1 << 30

// pollPeriod is the time between two looks at a process.
const pollPeriod = 20 * time.Millisecond

// answerWait is how long an ordinary caller tries; it is no bound of the tier.
const answerWait = 30 * time.Second

// binary is the program, built by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "flooder-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "pistachiogap")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// machine is what the VM's settings say of its machine.
type machine struct {
	memoryMB    int
	descriptors int
	idleTimeout time.Duration
}

// smallest is the smallest VM of the users' pages.
func smallest() machine {
	return machine{memoryMB: memoryMB, descriptors: descriptorLimit, idleTimeout: idleTimeout}
}

// vm is the VM under test, a process of its own, with the stand-ins that it needs.
type vm struct {
	t         *testing.T
	machine   machine
	callers   netip.AddrPort
	searchers map[string]*imitator.Searcher
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	logFile   string
	asked     int
	peaks     peaks
	measured  chan struct{} // closed when the watch over the process has ended
}

// startVM starts the stand-ins and a VM on the machine, and waits until it is ready.
func startVM(t *testing.T, m machine) *vm {
	t.Helper()
	store := imitator.NewStore()
	t.Cleanup(store.Close)
	v := &vm{t: t, machine: m, searchers: map[string]*imitator.Searcher{}, exited: make(chan struct{}), measured: make(chan struct{})}
	for _, service := range services() {
		x := imitator.NewSearcher(nil, service+"-a", service)
		t.Cleanup(x.Close)
		store.Put("servers/"+x.ID, x.Registration("ready", x.Listener.Addr().String()))
		v.searchers[service] = x
	}
	store.Publish(configuration(m))
	host := netip.AddrFrom4([4]byte{127, 113, byte(os.Getpid() >> 8), byte(os.Getpid())})
	v.callers = netip.AddrPortFrom(host, 8226)
	ready := netip.AddrPortFrom(host, 8227)
	v.start(v.settings(store.Addr(), host))
	go v.watch()
	t.Cleanup(v.kill)
	v.eventually("the VM is ready", func() bool {
		res, err := http.Get("http://" + ready.String() + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	return v
}

// callerConns returns how many connections are open at the callers' port of the VM.
func (v *vm) callerConns() int {
	v.t.Helper()
	const established = "01"
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		v.t.Fatal(err)
	}
	a := v.callers.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", a[3], a[2], a[1], a[0], v.callers.Port())
	n := 0
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 3 && f[1] == local && f[3] == established {
			n++
		}
	}
	return n
}

// ask sends ordinary requests, as a caller that comes back after a refusal, until one is answered.
func (v *vm) ask(path string) {
	v.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	last := ""
	for deadline := time.Now().Add(answerWait); time.Now().Before(deadline) && !v.hasEnded(); time.Sleep(5 * pollPeriod) {
		v.asked++
		id := fmt.Sprintf("ordinary-%d", v.asked)
		a, err := imitator.Ask(v.t.Context(), client, v.callers, http.MethodGet, host, path, "", id, 2000)
		if err == nil && a.Status == http.StatusOK {
			return
		}
		if last = fmt.Sprintf("status %d: %s", a.Status, a.Body); err != nil {
			last = err.Error()
		}
	}
	v.t.Errorf("an ordinary request to %s was not answered in %d attempts, the last: %s", path, v.asked, last)
}

func (v *vm) eventually(what string, condition func() bool) {
	v.t.Helper()
	for deadline := time.Now().Add(answerWait); !condition(); time.Sleep(pollPeriod) {
		if time.Now().After(deadline) {
			v.t.Fatalf("not within %s: %s; the VM's log ends:\n%s", answerWait, what, v.logEnd())
		}
	}
}
