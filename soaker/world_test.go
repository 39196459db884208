package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Bounds of a run; they are those that the VMs are told.
const (
	drainWithin   = 3 * time.Second
	killAfter     = 4 * time.Second
	applyWithin   = 4 * time.Second
	steadyWindow  = 5 * time.Second
	deadlineMS    = 1500
	callersHost   = "desk.example"
	leastCoverage = 0.5
	recordLimit   = 5
)

var indexVersions = [][]string{{"old-1", "old-2", "old-3"}, {"new-1", "new-2", "new-3", "new-4"}}

// vm is one process of the program.
type vm struct {
	name    string
	addr    netip.Addr
	log     *os.File
	callers netip.AddrPort
	ready   netip.AddrPort
	file    string

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	disturbed time.Time
	hard      time.Time // last disturbance other than a planned stop
}

// replica is a searcher behind a proxy.
type replica struct {
	*imitator.Searcher
	proxy  *faker.Proxy
	leftAt time.Time
}

// world is a deployment under soak.
type world struct {
	t       *testing.T
	ctx     context.Context
	rnd     *rand.Rand
	binary  string
	store   *imitator.Store
	gate    *faker.Proxy
	vms     []*vm
	network netip.Prefix
	history *history

	planned  sync.Mutex
	mu       sync.Mutex
	replicas map[string]*replica
	gone     []*replica
	links    map[string]faker.LinkState
	nextHost int
	nextID   int
	config   int
	index    int
	storeBad time.Time
}

func newWorld(ctx context.Context, t *testing.T, binary string, seed uint64, vms int) *world {
	w := &world{
		t: t, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, seed)), binary: binary, store: imitator.NewStore(),
		replicas: map[string]*replica{}, links: map[string]faker.LinkState{}, history: &history{},
		nextHost: 1,
	}
	t.Cleanup(w.store.Close)
	w.network = netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 60, byte(seed % 200), 0}), 24)
	w.gate = w.proxy("store", netip.AddrPortFrom(w.host(), 9000), w.store.Addr())
	for _, s := range []string{"old-1", "old-2", "old-3", "portal", "board"} {
		for range 3 {
			w.addReplica(s)
		}
	}
	w.publish("portal", 0)
	for i := range vms {
		w.vms = append(w.vms, w.newVM(i))
	}
	for _, v := range w.vms {
		w.start(v)
	}
	return w
}

// host returns the next free address of the run's own network.
func (w *world) host() netip.Addr {
	b := w.network.Addr().As4()
	b[3] = byte(w.nextHost)
	w.nextHost++
	return netip.AddrFrom4(b)
}

// proxy starts a proxy whose links are named by its name and the sender's address.
func (w *world) proxy(name string, at, to netip.AddrPort) *faker.Proxy {
	p, err := faker.StartProxy(w.ctx, at, to, func(from netip.Addr) faker.LinkState {
		w.mu.Lock()
		defer w.mu.Unlock()
		return max(w.links[name+" "+from.String()], w.links[name])
	}, func() bool { return false })
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

func (w *world) setLink(link string, s faker.LinkState) {
	w.mu.Lock()
	w.links[link] = s
	w.mu.Unlock()
}

// addReplica starts a searcher behind a proxy and registers it.
func (w *world) addReplica(service string) *replica {
	w.nextID++
	id := fmt.Sprintf("%s-i%d", service, w.nextID)
	x := &replica{Searcher: imitator.NewSearcher(nil, id, service)}
	w.t.Cleanup(x.Close)
	x.proxy = w.proxy(id, netip.AddrPortFrom(w.host(), 8000), x.Listener.Addr().(*net.TCPAddr).AddrPort())
	w.mu.Lock()
	w.replicas[id] = x
	w.mu.Unlock()
	w.store.Put("servers/"+id, x.Entry("ready", x.proxy.Address.String()))
	return x
}

// publish writes the next configuration: the service of lookups and the version of the index.
func (w *world) publish(lookup string, version int) {
	w.index = version
	w.config += 1 + w.config%3
	w.store.Publish(imitator.Configuration{
		Version: w.config, Host: callersHost, Shards: indexVersions[version], Least: leastCoverage, Limit: recordLimit, Lookup: lookup, Order: "portal",
		Services: slices.Concat([]string{"portal", "board"}, indexVersions[0], indexVersions[1]),
	})
	w.history.published(time.Now(), lookup)
}

func (w *world) newVM(i int) *vm {
	v := &vm{name: fmt.Sprintf("vm-%d", i+1), addr: w.host()}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.addr, port) }
	v.callers, v.ready = at(8080), at(8083)
	var peers []string
	for _, other := range w.vms {
		peers = append(peers, netip.AddrPortFrom(other.addr, 8082).String())
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": v.name, "failure-domain": "seoul-a", "keys": []string{"a-key-of-sixteen-bytes"}, "peers": append(peers, at(8082).String()),
		"listen":   map[string]any{"callers": v.callers, "operators": at(8081), "peers": at(8082)},
		"timeline": map[string]any{"events": 1000, "sample": 0.1},
		"routing": map[string]any{
			"ready": v.ready, "store": w.gate.Address, "regions": map[string]string{"seoul-a": "seoul"}, "kill-after": killAfter.String(),
			"retry-ratio": 0.2, "retry-slack": 60, "retry-window": "10s", "drain-within": drainWithin.String(),
		},
	}, "", " ")
	if err != nil {
		w.t.Fatal(err)
	}
	dir := w.t.TempDir()
	v.file = filepath.Join(dir, v.name+".jsonc")
	if err := os.WriteFile(v.file, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	if v.log, err = os.Create(filepath.Join(logDir(w.t), v.name+".log")); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = v.log.Close() })
	return v
}

// logDir is where the logs of the processes go; it is kept if SOAK_LOGS names a directory.
func logDir(t *testing.T) string {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return t.TempDir()
	}
	dir = filepath.Join(dir, filepath.Base(t.Name()))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

// start runs the process of a VM; its end is told on the channel ended.
func (w *world) start(v *vm) {
	cmd := exec.Command(w.binary, "serve", "--settings", v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.ended, v.disturbed = cmd, ended, time.Now()
}

// signal sends a signal to the process that the soak itself started.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		v.hard = v.disturbed
	}
	_ = v.cmd.Process.Signal(s)
	return v.ended
}

func (v *vm) disturb() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
	v.hard = v.disturbed
}

// onlyPlanned reports whether nothing but planned stops happened to the VM since the time.
func (v *vm) onlyPlanned(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hard.Before(since)
}

// steadySince returns the time since when nothing was done to the VM.
func (v *vm) steadySince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbed
}

// stop ends all processes.
func (w *world) stop() {
	for _, v := range w.vms {
		_ = v.signal(syscall.SIGCONT)
		<-v.signal(syscall.SIGKILL)
	}
}
