package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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

// Parameters of a soak. The VMs get drainWithin and killAfter in their settings, and callersHost, leastCoverage and
// recordLimit in the published configuration.
const (
	drainWithin   = 3 * time.Second // a searcher that left may get requests for this time, and 500 ms more
	killAfter     = 4 * time.Second // a VM that does not exit within this time of SIGTERM is killed
	applyWithin   = 4 * time.Second // a published configuration is in force at an undisturbed VM within this time
	steadyWindow  = 5 * time.Second // a VM or store counts as steady once undisturbed for this time
	deadlineMS    = 1500            // sent by callers with each request
	callersHost   = "desk.example"
	leastCoverage = 0.5
	recordLimit   = 5
)

// indexVersions are the two sets of services that hold the shards of the index. Each reshard changes to the other set.
var indexVersions = [][]string{{"old-1", "old-2", "old-3"}, {"new-1", "new-2", "new-3", "new-4"}}

// vm is one process of the program.
type vm struct {
	name         string
	addr         netip.Addr
	log          *os.File
	callersAddr  netip.AddrPort
	readyAddr    netip.AddrPort
	settingsFile string

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has exited
	disturbedAt time.Time     // last start, signal, or fault of the link to the store
	unplannedAt time.Time     // last disturbance other than a start, SIGTERM or SIGHUP
}

// replica is a searcher behind a proxy.
type replica struct {
	*imitator.Searcher
	proxy  *faker.Proxy
	state  string    // that it registered last; empty if it removed its entry
	leftAt time.Time // when its entry changed to draining or was removed; zero before
}

// deployment is the store, the searchers and the VMs of one soak.
type deployment struct {
	t          *testing.T
	ctx        context.Context
	rnd        *rand.Rand
	returnRnd  *rand.Rand // draws the returns of the store from older copies
	binary     string
	store      *imitator.Store
	storeProxy *faker.Proxy // between the VMs and the store
	vms        []*vm
	network    netip.Prefix // of all addresses; seeds that are equal modulo 200 share it
	history    *history

	changeMu         sync.Mutex          // held during a planned change; guards nextHost to indexVersion and each replica's state
	awayMu           sync.Mutex          // held while the store refuses all calls and until what it lost is written again; guards epoch
	mu               sync.Mutex          // guards replicas, retired, links, storeDisturbedAt and each replica's leftAt
	replicas         map[string]*replica // by id, without the retired
	retired          []*replica
	links            map[string]faker.LinkState // by proxy name, or proxy name and sender address
	nextHost         int
	nextID           int
	configVersion    int
	published        imitator.Configuration // last
	omittedRoute     string                 // route that the next configurations leave out, if any
	indexVersion     int                    // position in indexVersions
	storeDisturbedAt time.Time
	epoch            int       // of the store
	readyAt          time.Time // when all VMs were ready first
}

func newDeployment(ctx context.Context, t *testing.T, binary string, seed uint64, vms int) *deployment {
	d := &deployment{
		t: t, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, seed)), returnRnd: rand.New(rand.NewPCG(seed, ^seed)), binary: binary, store: imitator.NewStore(),
		replicas: map[string]*replica{}, links: map[string]faker.LinkState{}, history: &history{},
		nextHost: 1, epoch: 1,
	}
	t.Cleanup(d.store.Close)
	d.network = netip.PrefixFrom(netip.AddrFrom4([4]byte{127, 60, byte(seed % 200), 0}), 24)
	d.storeProxy = d.startProxy("store", netip.AddrPortFrom(d.nextAddr(), 9000), d.store.Addr())
	for _, s := range []string{"old-1", "old-2", "old-3", "portal", "board"} {
		for range 3 {
			d.addReplica(s)
		}
	}
	d.publish("portal", 0)
	for i := range vms {
		d.vms = append(d.vms, d.newVM(i))
	}
	for _, v := range d.vms {
		d.start(v)
	}
	return d
}

// nextAddr returns the next free address of the deployment's network.
func (d *deployment) nextAddr() netip.Addr {
	b := d.network.Addr().As4()
	b[3] = byte(d.nextHost)
	d.nextHost++
	return netip.AddrFrom4(b)
}

// startProxy starts a proxy from one address to another. The state of its links is set in d.links: for all senders under
// the proxy's name, for one sender under the name and the sender's address. The higher LinkState of the two holds.
func (d *deployment) startProxy(name string, from, to netip.AddrPort) *faker.Proxy {
	p, err := faker.StartProxy(d.ctx, from, to, func(sender netip.Addr) faker.LinkState {
		d.mu.Lock()
		defer d.mu.Unlock()
		return max(d.links[name+" "+sender.String()], d.links[name])
	}, func() bool { return false }) // drops no datagram
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

func (d *deployment) setLink(link string, s faker.LinkState) {
	d.mu.Lock()
	d.links[link] = s
	d.mu.Unlock()
}

// addReplica starts a searcher behind a proxy and registers it in the store.
func (d *deployment) addReplica(service string) *replica {
	d.nextID++
	id := fmt.Sprintf("%s-i%d", service, d.nextID)
	x := &replica{Searcher: imitator.NewSearcher(nil, id, service)}
	d.t.Cleanup(x.Close)
	x.proxy = d.startProxy(id, netip.AddrPortFrom(d.nextAddr(), 8000), x.Listener.Addr().(*net.TCPAddr).AddrPort())
	d.mu.Lock()
	d.replicas[id] = x
	d.mu.Unlock()
	d.register(x, "ready")
	return x
}

// register writes the entry of a searcher in the given state.
func (d *deployment) register(x *replica, state string) {
	d.store.Put("servers/"+x.ID, x.Registration(state, x.proxy.Address.String()))
	x.state = state
}

// unregister removes the entry of a searcher.
func (d *deployment) unregister(x *replica) {
	d.store.Remove("servers/" + x.ID)
	x.state = ""
}

// rewrite writes again what the writer of the key wrote last: the configuration, or the entry of a searcher or its removal.
func (d *deployment) rewrite(key string) {
	if key == imitator.ConfigurationKey {
		d.store.Publish(d.published)
		return
	}
	for _, x := range d.allReplicas() {
		switch {
		case key != "servers/"+x.ID:
		case x.state == "":
			d.store.Remove(key)
		default:
			d.register(x, x.state)
		}
	}
}

// allReplicas returns all searchers, also the retired ones.
func (d *deployment) allReplicas() []*replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(slices.Clone(d.retired), slices.Collect(maps.Values(d.replicas))...)
}

// publish writes the next configuration, with the service of lookups and the index version. The configuration's own
// version rises each time, and skips some numbers.
func (d *deployment) publish(lookup string, indexVersion int) {
	d.indexVersion = indexVersion
	d.configVersion += 1 + d.configVersion%3
	d.published = imitator.Configuration{
		Version: d.configVersion, Host: callersHost, Shards: indexVersions[indexVersion], LeastCoverage: leastCoverage, Limit: recordLimit, Lookup: lookup, Order: "portal",
		Services: slices.Concat([]string{"portal", "board"}, indexVersions[0], indexVersions[1]), Omit: d.omittedRoute,
	}
	d.store.Publish(d.published)
	d.history.recordLookup(time.Now(), lookup)
}

func (d *deployment) newVM(i int) *vm {
	v := &vm{name: fmt.Sprintf("vm-%d", i+1), addr: d.nextAddr()}
	endpoint := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.addr, port) }
	v.callersAddr, v.readyAddr = endpoint(8080), endpoint(8083)
	var peers []string
	for _, peer := range d.vms {
		peers = append(peers, netip.AddrPortFrom(peer.addr, 8082).String())
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": v.name, "failure-domain": "seoul-a", "keys": []string{"a-key-of-sixteen-bytes"}, "peers": append(peers, endpoint(8082).String()),
		"listen":   map[string]any{"callers": v.callersAddr, "operators": endpoint(8081), "peers": endpoint(8082)},
		"timeline": map[string]any{"events": 1000, "sample": 0.1},
		"routing": map[string]any{
			"ready": v.readyAddr, "store": d.storeProxy.Address, "regions": map[string]string{"seoul-a": "seoul"}, "kill-after": killAfter.String(),
			"retry-ratio": 0.2, "retry-slack": 60, "retry-window": "10s", "drain-within": drainWithin.String(),
		},
	}, "", " ")
	if err != nil {
		d.t.Fatal(err)
	}
	dir := d.t.TempDir()
	v.settingsFile = filepath.Join(dir, v.name+".jsonc")
	if err := os.WriteFile(v.settingsFile, text, 0o600); err != nil {
		d.t.Fatal(err)
	}
	if v.log, err = os.Create(filepath.Join(logDir(d.t), v.name+".log")); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = v.log.Close() })
	return v
}

// logDir returns the directory for the logs of the processes, which is kept if the environment variable SOAK_LOGS names
// its parent.
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

// start starts the process of a VM; v.exited is closed when the process has exited.
func (d *deployment) start(v *vm) {
	cmd := exec.Command(d.binary, "serve", "--settings", v.settingsFile)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.exited, v.disturbedAt = cmd, exited, time.Now()
}

// signal sends a signal to the VM's process, which this test started, and returns the channel that is closed when the
// process has exited.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbedAt = time.Now()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		v.unplannedAt = v.disturbedAt
	}
	_ = v.cmd.Process.Signal(s)
	return v.exited
}

// markUnplannedDisturbance records a disturbance other than a start, SIGTERM or SIGHUP.
func (v *vm) markUnplannedDisturbance() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbedAt = time.Now()
	v.unplannedAt = v.disturbedAt
}

// onlyPlannedStopsSince reports whether starts, SIGTERM and SIGHUP were the only disturbances of the VM since the time.
func (v *vm) onlyPlannedStopsSince(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unplannedAt.Before(since)
}

// undisturbedSince returns the time of the VM's last disturbance.
func (v *vm) undisturbedSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbedAt
}

// stop resumes paused processes and kills all processes.
func (d *deployment) stop() {
	for _, v := range d.vms {
		_ = v.signal(syscall.SIGCONT)
		<-v.signal(syscall.SIGKILL)
	}
}
