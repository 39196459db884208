package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Program is the program that the build line of the deploy file makes, and its argument in the run line.
const (
	Program = "target/pistachiogap"
	Verb    = "serve"
)

// Zones are the zones of the small deployment, by their regions.
var Zones = map[string]string{"ro-east-a": "ro-east", "ro-west-a": "ro-west", "eu-central-a": "eu-central"}

// VM is one VM of the tier, a process of its own.
type VM struct {
	Name  string
	Front netip.AddrPort
	Ready netip.AddrPort
	cmd   *exec.Cmd
	file  string
}

// Fleet is the VMs of one script.
type Fleet struct {
	VMs []*VM
	dir string
}

// firstNet is the second byte of the loopback address of a script's first VM.
const firstNet = 111

// AnyPort is a free port of the loopback address, for searchers.
var AnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// freePort returns an address of the host whose port is free for TCP now.
func freePort(host netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// StartFleet starts one VM in each of the zones, with settings as the template deploy/settings.jsonc renders them. The
// bounds are those of certivest-pg. The processes end with this one.
func StartFleet(store *imitator.Store, zones ...string) (*Fleet, error) {
	runtime.LockOSThread() // the parent-death signal follows the thread that started the process
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir}
	ports := make([][4]netip.AddrPort, len(zones))
	var seeds []string
	for i := range zones {
		// A loopback address of its own for each VM of each script, from which the VM also calls the searchers, so that
		// nothing else takes a port between its choice and its use.
		pid := os.Getpid()
		host := netip.AddrFrom4([4]byte{127, byte(firstNet + i), byte(pid >> 8), byte(pid)})
		for k := range ports[i] {
			if ports[i][k], err = freePort(host); err != nil {
				return f, err
			}
		}
		seeds = append(seeds, ports[i][3].String())
	}
	for i, zone := range zones {
		vm := &VM{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Front: ports[i][0], Ready: ports[i][1]}
		vm.file = filepath.Join(dir, vm.Name+".jsonc")
		settings := map[string]any{
			"name": vm.Name, "failure-domain": zone,
			"listen":   map[string]any{"callers": vm.Front.String(), "operators": ports[i][2].String(), "peers": ports[i][3].String()},
			"peers":    seeds,
			"keys":     []string{"pistachiogap-on-the-platform"},
			"timeline": map[string]any{"events": 2048, "sample": 0.01},
			"routing": map[string]any{
				"ready": vm.Ready.String(), "store": store.Addr().String(), "regions": Zones, "kill-after": "6s",
				"retry-ratio": 0.2, "retry-slack": 58, "retry-window": "10s", "drain-within": "3000ms", "first-start": true,
			},
		}
		b, _ := json.MarshalIndent(settings, "", "  ")
		if err := os.WriteFile(vm.file, b, 0o600); err != nil {
			return f, err
		}
		if err := vm.start(); err != nil {
			return f, err
		}
		f.VMs = append(f.VMs, vm)
	}
	return f, f.waitReady()
}

func (vm *VM) start() error {
	out, err := os.Create(vm.file + ".log")
	if err != nil {
		return err
	}
	vm.cmd = exec.Command(Program, Verb)
	vm.cmd.Env = []string{"PISTACHIOGAP_SETTINGS=" + vm.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	vm.cmd.Stdout, vm.cmd.Stderr = out, out
	vm.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return vm.cmd.Start()
}

// Log returns the file that holds the output of the VM.
func (vm *VM) Log() string { return vm.file + ".log" }

// Signal sends a signal to the VM's process.
func (vm *VM) Signal(s os.Signal) error { return vm.cmd.Process.Signal(s) }

// waitReady waits until all VMs answer their readiness checks with 200.
func (f *Fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, vm := range f.VMs {
		for !vm.ready(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after 20 s", vm.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (vm *VM) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Ready.String()+"/-/readiness", http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Stop kills the processes and removes their files. With keep set in the environment variable KEEP, the files stay.
func (f *Fleet) Stop() {
	for _, vm := range f.VMs {
		if vm.cmd != nil && vm.cmd.Process != nil {
			_ = vm.cmd.Process.Kill()
			_ = vm.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("files of the VMs:", f.dir)
}
