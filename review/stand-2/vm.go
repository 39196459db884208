package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const zone = "ro-east-a"

// vm is one process of the tier, started as the deploy file says.
type vm struct {
	name      string
	dir       string
	callers   string
	ready     string
	peers     string
	operators string
	cmd       *exec.Cmd
	done      chan struct{}
	rec       *record
	program   string
}

// newVMs lays out VMs that know each other as seeds; it starts none.
func newVMs(rec *record, dir, program, store string, n int) ([]*vm, error) {
	vms := make([]*vm, n)
	var seeds []string
	for i := range vms {
		host := fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1)
		ports, err := freePorts(host, 4)
		if err != nil {
			return nil, err
		}
		vms[i] = &vm{name: fmt.Sprintf("front-%d", i+1), rec: rec, program: program, callers: ports[0], ready: ports[1], peers: ports[2], operators: ports[3]}
		vms[i].dir = filepath.Join(dir, vms[i].name)
		if err := os.MkdirAll(vms[i].dir, 0o755); err != nil {
			return nil, err
		}
		seeds = append(seeds, ports[2])
	}
	for _, v := range vms {
		if err := v.writeSettings(store, seeds, true); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// freePorts returns n addresses of the host with free ports.
func freePorts(host string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// writeSettings writes the settings as deploy/settings.jsonc renders them for a small deployment.
func (v *vm) writeSettings(store string, seeds []string, firstStart bool) error {
	b, err := json.MarshalIndent(map[string]any{
		"name": v.name, "failure-domain": zone,
		"listen": map[string]any{"callers": v.callers, "operators": v.operators, "peers": v.peers},
		"peers":  seeds, "keys": []string{"pistachiogap-on-the-platform"},
		"timeline":  map[string]any{"events": 2048, "sample": 0.01},
		"resources": map[string]any{"memory-mb": 284, "descriptors": 4100},
		"routing": map[string]any{
			"ready": v.ready, "store": store, "regions": map[string]string{zone: "ro-east"},
			"kill-after": "6s", "retry-ratio": 0.2, "retry-slack": 58, "retry-window": "10s", "drain-within": "3000ms", "first-start": firstStart,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings(), b, 0o644)
}

func (v *vm) settings() string { return filepath.Join(v.dir, "settings.jsonc") }

// start starts the process and waits until it is ready.
func (v *vm) start() error {
	out, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(v.program, "serve")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOGAP_SETTINGS=" + v.settings()}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.rec.add("vm-start", "vm=%s pid=%d callers=%s", v.name, v.cmd.Process.Pid, v.callers)
	done := make(chan struct{})
	v.done = done
	cmd := v.cmd
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		v.rec.add("vm-end", "vm=%s pid=%d state=%v", v.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// waitReady waits until the readiness port answers 200.
func (v *vm) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + v.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", v.name, limit)
}

// ended reports whether the process has ended.
func (v *vm) ended() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

// kill ends the process if it runs.
func (v *vm) kill() {
	if v.cmd == nil || v.ended() {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.done
}
