package prover

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/faker"
	"github.com/pistachiogap/pistachiogap/server"
)

// ticksPerSecond is the number of clock ticks in a second. Ticks are the unit of processor times in /proc/PID/stat.
const ticksPerSecond = 100

// cpuTime returns the processor time that a process has used, in user and in kernel mode.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The command name in parentheses may contain spaces, so the fields are counted from its end.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkWholePath measures searches through one VM, a process of its own, in the Hanbit example: 85 searchers whose
// service time is 0, and 27 shards in each search.
func BenchmarkWholePath(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkWholePath(b, callers) })
	}
}

func benchmarkWholePath(b *testing.B, callers int) {
	program, err := exec.LookPath("pistachiogap")
	if err != nil {
		b.Fatal(err)
	}
	scenario := faker.NewScenario(context.Background(), program, b.TempDir(), newNetwork(), b.Logf)
	defer scenario.Close()
	runVerbs(b, scenario, "world ../examples/hanbit.jsonc service=0s link=0s", "vm start 1", "vm ready 1")
	addr, pid := scenario.VMProcess(1)
	client := caller.NewClient(netip.Addr{})
	defer client.Close()
	search := func() time.Duration {
		start := time.Now()
		if _, err := client.Search(context.Background(), addr, "cover", server.Query{Text: "bench"}, "", time.Second); err != nil {
			b.Error(err)
		}
		return time.Since(start)
	}
	for range 200 {
		search()
	}
	latencies := make([][]time.Duration, callers)
	cpuBefore := cpuTime(b, pid)
	b.ResetTimer()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for range max(1, b.N/callers) {
				latencies[c] = append(latencies[c], search())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	sorted := slices.Concat(latencies...)
	slices.Sort(sorted)
	const shards = 27
	b.ReportMetric(float64((cpuTime(b, pid)-cpuBefore).Microseconds())/float64(len(sorted)*shards), "cpu-us/sub-query")
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-us")
}
