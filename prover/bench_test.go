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

const ticksPerSecond = 100

// cpuOf returns the processor time that a process has used.
func cpuOf(b *testing.B, pid int) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkWholePath measures one VM as a process with the Hanbit shape: 85 searchers without service time, 27 shards a search.
func BenchmarkWholePath(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { wholePath(b, callers) })
	}
}

func wholePath(b *testing.B, callers int) {
	program, err := exec.LookPath("pistachiogap")
	if err != nil {
		b.Fatal(err)
	}
	stage := faker.NewStage(context.Background(), program, b.TempDir(), network(), b.Logf)
	defer stage.Close()
	for _, line := range []string{"world ../examples/hanbit.jsonc service=0s link=0s", "vm start 1", "vm ready 1"} {
		words := strings.Fields(line)
		args, o := faker.ParseOptions(words[1:])
		if err := faker.Verbs()[words[0]](stage, args, o); err != nil {
			b.Fatal(err)
		}
	}
	addr, pid := stage.Machine(1)
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
	took := make([][]time.Duration, callers)
	before := cpuOf(b, pid)
	b.ResetTimer()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for range max(1, b.N/callers) {
				took[c] = append(took[c], search())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(took...)
	slices.Sort(all)
	const shards = 27
	b.ReportMetric(float64((cpuOf(b, pid)-before).Microseconds())/float64(len(all)*shards), "cpu-us/sub-query")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}
