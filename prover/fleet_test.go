package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/server"
)

// runVerbs runs lines of the scenario language.
func runVerbs(b *testing.B, scenario *faker.Scenario, lines ...string) {
	b.Helper()
	for _, line := range lines {
		words := strings.Fields(line)
		args, o := faker.ParseOptions(words[1:])
		if err := faker.Verbs()[words[0]](scenario, args, o); err != nil {
			b.Fatalf("%s: %v", line, err)
		}
	}
}

// residentBytes returns the resident set size of a process.
func residentBytes(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return float64(pages * os.Getpagesize())
}

// usage sums the resources that the processes of a fleet have used since their start, and their resident memory now.
type usage struct {
	cpu           time.Duration
	gossipOut     uint64  // bytes
	gossipIn      uint64  // bytes
	resident      float64 // bytes
	platformCalls float64
}

func fleetUsage(b *testing.B, scenario *faker.Scenario, client *caller.Client, n int) usage {
	b.Helper()
	var u usage
	for i := 1; i <= n; i++ {
		addr, pid := scenario.VMProcess(i)
		u.cpu += cpuTime(b, pid)
		u.resident += residentBytes(b, pid)
		// In a scenario, port 8081 of each VM is its port for operators.
		text, err := client.Read(context.Background(), netip.AddrPortFrom(addr.Addr(), 8081), "/admin/v1/status")
		if err != nil {
			b.Fatal(err)
		}
		var s server.Status
		if err := json.Unmarshal(text, &s); err != nil {
			b.Fatal(err)
		}
		u.gossipOut += s.Gossip.BytesOut
		u.gossipIn += s.Gossip.BytesIn
		u.platformCalls += float64(s.PlatformCalls)
	}
	return u
}

// BenchmarkFleet measures idle fleets of VMs, each a process: the processor time, gossip, platform reads and memory that
// the control plane costs, and the time until all VMs know of a configuration change and of a VM's death.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 30, 60} {
		b.Run(fmt.Sprintf("vms-%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkFleet(b, n)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, n int) {
	program, err := exec.LookPath("pistachiogap")
	if err != nil {
		b.Fatal(err)
	}
	scenario := faker.NewScenario(context.Background(), program, b.TempDir(), newNetwork(), b.Logf)
	defer scenario.Close()
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	runVerbs(b, scenario, "world small.jsonc", fmt.Sprintf("vm start 1-%d relay-width=2 list-period=5s", n),
		fmt.Sprintf("vm ready 1-%d", n), fmt.Sprintf("await members 1-%d limit=60s", n), "pause 10s")
	const seconds = 15
	before := fleetUsage(b, scenario, client, n)
	runVerbs(b, scenario, fmt.Sprintf("pause %ds", seconds))
	after := fleetUsage(b, scenario, client, n)
	vmSeconds := float64(n) * seconds
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/vmSeconds/10_000, "percent-of-core/vm")
	b.ReportMetric(float64(after.gossipOut-before.gossipOut)/vmSeconds, "gossip-out-bytes/s")
	b.ReportMetric(float64(after.gossipIn-before.gossipIn)/vmSeconds, "gossip-in-bytes/s")
	b.ReportMetric((after.platformCalls-before.platformCalls)/seconds, "platform-reads/s")
	b.ReportMetric(after.resident/float64(n)/(1<<20), "resident-MiB/vm")
	start := time.Now()
	runVerbs(b, scenario, "publish deadline=1500ms", fmt.Sprintf("await configuration 1-%d limit=60s", n))
	b.ReportMetric(time.Since(start).Seconds(), "change-everywhere-s")
	start = time.Now()
	runVerbs(b, scenario, fmt.Sprintf("vm kill %d", n), fmt.Sprintf("await members 1-%d alive=%d limit=60s", n-1, n-1))
	b.ReportMetric(time.Since(start).Seconds(), "death-everywhere-s")
}
