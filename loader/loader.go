package loader

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/caller"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/server"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Bounds of a load; longer latencies are counted as maxLatency.
const (
	maxLatency     = time.Minute
	progressPeriod = time.Second
)

// Load describes an open-loop load: arrivals are a Poisson process and do not wait for answers.
type Load struct {
	VMs          []netip.AddrPort
	Index        modeler.IndexName
	Rate         float64 // searches per second, on average
	Duration     time.Duration
	Deadline     time.Duration
	NetworkDelay time.Duration // simulated one-way network delay between caller and VM
	Seed         uint64
	Local        netip.Addr         // source address; any if not valid
	QueryText    func(n int) string // query text of the n-th search; nil for a default text
	Progress     io.Writer          // gets a progress line every second; nil for none
}

// Result is the measurement of a load. Sent counts the searches that have ended; each of them is also counted as complete,
// partial, refused or failed. Complete counts answers from all shards, and Partial all other answers. Failed counts
// searches that got neither an answer nor a refusal. InTime counts answers within the deadline plus the simulated delay in
// both directions.
//
// The other fields are about answers only. Latencies are in microseconds from the intended start. Coverage is the mean
// share of documents searched. ExtraLoad is the number of attempts beyond one per shard, divided by the number of shards.
type Result struct {
	Sent        int                  `json:"sent"`
	Complete    int                  `json:"complete"`
	Partial     int                  `json:"partial"`
	Refused     map[refuser.Kind]int `json:"refused"`
	Failed      int                  `json:"failed"`
	InTime      int                  `json:"in-time"`
	P50         int64                `json:"p50-us"`
	P99         int64                `json:"p99-us"`
	P999        int64                `json:"p999-us"`
	Max         int64                `json:"max-us"`
	Coverage    float64              `json:"coverage"`
	ExtraLoad   float64              `json:"extra-load"`
	attempts    int
	shards      int
	coverageSum float64
	histogram   *hdrhistogram.Histogram
	mu          sync.Mutex
	deadlineUs  int64
}

// Run sends the load and waits for all answers. If ctx ends first, it returns the result so far and the context's error.
func Run(ctx context.Context, l Load) (*Result, error) {
	if len(l.VMs) == 0 || l.Rate <= 0 {
		return nil, errors.New("load needs at least one VM and a rate above 0")
	}
	client := caller.NewClient(l.Local)
	defer client.Close()
	r := &Result{
		Refused: map[refuser.Kind]int{}, deadlineUs: l.Deadline.Microseconds(),
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
	if l.QueryText == nil {
		l.QueryText = func(n int) string { return "load " + strconv.Itoa(n) }
	}
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	start := time.Now()
	arrival := start
	nextReport := start.Add(progressPeriod)
	var searches []<-chan error
	for n := 0; arrival.Sub(start) < l.Duration && ctx.Err() == nil; n++ {
		spawner.Sleep(ctx, time.Until(arrival))
		intended, vm := arrival, l.VMs[rng.IntN(len(l.VMs))]
		searches = append(searches, spawner.Go(ctx, func(ctx context.Context) error {
			r.search(ctx, client, l, vm, n, intended)
			return nil
		}))
		if l.Progress != nil && time.Now().After(nextReport) {
			nextReport = nextReport.Add(progressPeriod)
			r.printProgress(l.Progress, time.Since(start))
		}
		arrival = arrival.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	_ = spawner.Wait(searches...)
	r.summarize()
	return r, ctx.Err()
}

// search sends the n-th search and adds its outcome to the result.
func (r *Result) search(ctx context.Context, c *caller.Client, l Load, vm netip.AddrPort, n int, intended time.Time) {
	spawner.Sleep(ctx, l.NetworkDelay)
	a, err := c.Search(ctx, vm, l.Index, server.Query{Text: l.QueryText(n)}, "", l.Deadline)
	spawner.Sleep(ctx, l.NetworkDelay)
	latency := time.Since(intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if err != nil {
		r.countError(err)
		return
	}
	_ = r.histogram.RecordValue(min(latency.Microseconds(), maxLatency.Microseconds()))
	if a.Complete {
		r.Complete++
	} else {
		r.Partial++
	}
	if latency.Microseconds() <= r.deadlineUs+2*l.NetworkDelay.Microseconds() {
		r.InTime++
	}
	r.attempts += a.Attempts
	r.shards += a.Coverage.ShardsTotal
	r.coverageSum += float64(a.Coverage.DocumentsSearched) / float64(max(1, a.Coverage.DocumentsTotal))
}

func (r *Result) countError(err error) {
	var refused *caller.RefusalError
	if errors.As(err, &refused) {
		r.Refused[refused.Kind]++
		return
	}
	r.Failed++
}

// summarize computes the quantiles and ratios once all searches have ended.
func (r *Result) summarize() {
	h := r.histogram
	r.P50, r.P99, r.P999, r.Max = h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()
	if answered := r.Complete + r.Partial; answered > 0 {
		r.Coverage = r.coverageSum / float64(answered)
		r.ExtraLoad = float64(r.attempts)/float64(max(1, r.shards)) - 1
	}
}

func (r *Result) printProgress(w io.Writer, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, "\r%4.0fs  sent %d  complete %d  partial %d  p99 %.1f ms ",
		elapsed.Seconds(), r.Sent, r.Complete, r.Partial, float64(r.histogram.ValueAtQuantile(99))/1000)
}

// String returns the result as lines for a terminal.
func (r *Result) String() string {
	var b strings.Builder
	refused := 0
	for _, n := range r.Refused {
		refused += n
	}
	fmt.Fprintf(&b, "sent %d: complete %d, partial %d, refused %d, failed %d\n", r.Sent, r.Complete, r.Partial, refused, r.Failed)
	for k, n := range r.Refused {
		fmt.Fprintf(&b, "  refused as %s: %d\n", k, n)
	}
	fmt.Fprintf(&b, "latency from the intended start (n=%d): p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n",
		r.Complete+r.Partial, ms(r.P50), ms(r.P99), ms(r.P999), ms(r.Max))
	fmt.Fprintf(&b, "coverage %.4f, extra load %.2f %%\n", r.Coverage, 100*r.ExtraLoad)
	return b.String()
}

func ms(us int64) float64 { return float64(us) / 1000 }
