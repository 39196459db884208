package flooder

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// peaks holds the most that the process was seen to use.
type peaks struct {
	memory  int64 // bytes
	sockets int
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
