package commander

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programVariable is the environment variable that makes the test binary run as the program itself.
const programVariable = "RUN_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(Main(os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// writeSettings writes a settings file for a VM on free ports and returns its path.
func writeSettings(t *testing.T) string {
	t.Helper()
	// Only this process uses the address, so that no outgoing connection of another process takes one of the free ports.
	host := fmt.Sprintf("127.102.%d.%d", byte(os.Getpid()>>8), byte(os.Getpid()))
	var addrs []any
	for range 4 {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	text := fmt.Sprintf(`{
		"name": "entry-1", "failure-domain": "north", "keys": ["a-key-of-sixteen-or-more"], "drain-delay": "300ms",
		"listen": {"callers": %q, "operators": %q, "peers": %q},
		"platform": %q
	}`, addrs...)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Further SIGTERM or SIGHUP signals from the platform must not interrupt a drain.
func TestDrainSurvivesFurtherSignals(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(second.String(), func(t *testing.T) {
			t.Parallel()
			c := exec.CommandContext(t.Context(), os.Args[0], "serve", "--settings", writeSettings(t))
			c.Env = append(os.Environ(), programVariable+"=1")
			out, err := c.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			c.Stderr = os.Stderr
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(out)
			awaitLine(t, r, "serves callers on")
			_ = c.Process.Signal(syscall.SIGTERM)
			awaitLine(t, r, "drains")
			for range 3 {
				_ = c.Process.Signal(second)
				time.Sleep(20 * time.Millisecond)
			}
			awaitLine(t, r, "stopped")
			_, _ = io.Copy(io.Discard, r)
			if err := c.Wait(); err != nil {
				t.Errorf("the program exited with an error: %v", err)
			}
		})
	}
}

func awaitLine(t *testing.T, r *bufio.Reader, part string) {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("reading the program's output until a line with %q: %v", part, err)
		}
		if strings.Contains(line, part) {
			return
		}
	}
}
