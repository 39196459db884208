package flooder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
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

// peaks holds the most that the process was seen to use.
type peaks struct {
	memory  int64 // bytes
	sockets int
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

// services returns the services of the shards and, last, the one of single requests.
func services() []string {
	var names []string
	for n := range shardCount {
		names = append(names, fmt.Sprintf("shard-%d", n+1))
	}
	return append(names, "portal")
}

// configuration returns what the users' operator publishes: the limits of their pages and a route of each kind.
func configuration(m machine) imitator.Configuration {
	return imitator.Configuration{
		Version: 1, Host: host, Shards: services()[:shardCount], LeastCoverage: 0.5, Limit: 3, Lookup: "portal", Order: "portal", Services: services(),
		Limits:  imitator.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: m.idleTimeout},
		Timeout: 2 * time.Second, Connections: 200,
	}
}

// settings renders the template of the deploy file, as the platform does, and returns the name of the file.
func (v *vm) settings(store netip.AddrPort, host netip.Addr) string {
	v.t.Helper()
	template, err := os.ReadFile("../deploy/settings.jsonc")
	if err != nil {
		v.t.Fatal(err)
	}
	endpoint := func(port uint16) string { return netip.AddrPortFrom(host, port).String() }
	values := map[string]any{
		"node": "front-1", "zone": "seoul-a", "ip_address": host.String(), "bootstrap": true,
		"listen_addresses.front": endpoint(8226), "listen_addresses.ready": endpoint(8227), "listen_addresses.control": endpoint(8224),
		"seeds": []string{endpoint(8224)}, "platform.address": store.String(), "zones": map[string]string{"seoul-a": "seoul"},
		"bounds.grace_period_s": 6, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 56, "bounds.budget_window_s": 10, "bounds.drain_ms": 3000,
		"limits.memory_mb": v.machine.memoryMB, "limits.fd_limit": v.machine.descriptors,
	}
	file := filepath.Join(v.t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, []byte(render(v.t, string(template), values)), 0o600); err != nil {
		v.t.Fatal(err)
	}
	return file
}

var (
	sectionPattern = regexp.MustCompile(`\{\{([#^])(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills the placeholders of the platform's templates that the deploy file uses.
func render(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if (m[1] == "#") == (values[m[2]] == true) {
			return m[3]
		}
		return ""
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		value, ok := values[m[1]]
		if !ok {
			t.Fatalf("the template names %s, which the test does not know", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
}

// start starts the process with the machine's limit of descriptors.
func (v *vm) start(settings string) {
	v.t.Helper()
	v.logFile = filepath.Join(v.t.TempDir(), "vm.log")
	log, err := os.Create(v.logFile)
	if err != nil {
		v.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(v.machine.descriptors), binary, "serve", "--settings", settings)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		v.t.Fatal(err)
	}
	go func() {
		_ = v.cmd.Wait()
		close(v.exited)
	}()
}

func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	<-v.exited
	<-v.measured
}

// watch notes the most memory and sockets of the process until it ends, and kills it if it runs away.
func (v *vm) watch() {
	defer close(v.measured)
	for {
		select {
		case <-v.exited:
			return
		case <-time.After(pollPeriod):
		}
		if n := memoryPeak(v.cmd.Process.Pid); n > 0 {
			v.peaks.memory = n
		}
		v.peaks.sockets = max(v.peaks.sockets, socketCount(v.cmd.Process.Pid))
		if v.peaks.memory > runawayBytes {
			_ = v.cmd.Process.Kill()
		}
	}
}

// memoryPeak returns the most resident memory that a process had, in bytes, or 0 if it is not known.
func memoryPeak(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// socketCount returns how many sockets a process has open.
func socketCount(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	n := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
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

// checkProcess fails if the process has ended or has used more than its machine has.
func (v *vm) checkProcess() {
	v.t.Helper()
	if v.hasEnded() {
		v.t.Errorf("the VM has ended; its log ends:\n%s", v.logEnd())
	}
	v.kill()
	if most := int64(v.machine.memoryMB) * 1_000_000; v.peaks.memory > most {
		v.t.Errorf("the VM used %d MB of memory, its machine has %d", v.peaks.memory/1_000_000, v.machine.memoryMB)
	}
	if most := v.machine.descriptors - fileDescriptors; v.peaks.sockets > most {
		v.t.Errorf("the VM had %d sockets open, its machine allows %d", v.peaks.sockets, most)
	}
	v.t.Logf("peaks: %d MB, %d sockets", v.peaks.memory/1_000_000, v.peaks.sockets)
}

func (v *vm) hasEnded() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

func (v *vm) logEnd() string {
	const length = 2000
	b, _ := os.ReadFile(v.logFile)
	return string(b[max(0, len(b)-length):])
}

func (v *vm) eventually(what string, condition func() bool) {
	v.t.Helper()
	for deadline := time.Now().Add(answerWait); !condition(); time.Sleep(pollPeriod) {
		if time.Now().After(deadline) {
			v.t.Fatalf("not within %s: %s; the VM's log ends:\n%s", answerWait, what, v.logEnd())
		}
	}
}
