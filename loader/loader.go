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

// Bounds of a load.
const (
	maxLatency     = time.Minute
	progressPeriod = time.Second
)

// Load describes an open-loop load.
type Load struct {
	VMs      []netip.AddrPort
	Index    modeler.IndexName
	Rate     float64
	Duration time.Duration
	Deadline time.Duration
	Delay    time.Duration
	Seed     uint64
	Local    netip.Addr
	Text     func(n int) string
	Progress io.Writer
}

// Result is what a load came to; latencies are in microseconds from the intended start.
type Result struct {
	Sent       int                  `json:"sent"`
	Complete   int                  `json:"complete"`
	Partial    int                  `json:"partial"`
	Refused    map[refuser.Kind]int `json:"refused"`
	Failed     int                  `json:"failed"`
	InTime     int                  `json:"in-time"`
	P50        int64                `json:"p50-us"`
	P99        int64                `json:"p99-us"`
	P999       int64                `json:"p999-us"`
	Max        int64                `json:"max-us"`
	Coverage   float64              `json:"coverage"`
	ExtraLoad  float64              `json:"extra-load"`
	attempts   int
	needed     int
	covered    float64
	histogram  *hdrhistogram.Histogram
	mu         sync.Mutex
	deadlineUs int64
}

// Run sends the load and waits for all answers.
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
	if l.Text == nil {
		l.Text = func(n int) string { return "load " + strconv.Itoa(n) }
	}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	start := time.Now()
	next := start
	report := start.Add(progressPeriod)
	var ends []<-chan error
	for n := 0; next.Sub(start) < l.Duration && ctx.Err() == nil; n++ {
		spawner.Sleep(ctx, time.Until(next))
		intended, vm := next, l.VMs[random.IntN(len(l.VMs))]
		ends = append(ends, spawner.Go(ctx, func(ctx context.Context) error {
			r.one(ctx, client, l, vm, n, intended)
			return nil
		}))
		if l.Progress != nil && time.Now().After(report) {
			report = report.Add(progressPeriod)
			r.progress(l.Progress, time.Since(start))
		}
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	_ = spawner.Wait(ends...)
	r.finish()
	return r, ctx.Err()
}

func (r *Result) one(ctx context.Context, c *caller.Client, l Load, vm netip.AddrPort, n int, intended time.Time) {
	spawner.Sleep(ctx, l.Delay)
	a, err := c.Search(ctx, vm, l.Index, server.Query{Text: l.Text(n)}, "", l.Deadline)
	spawner.Sleep(ctx, l.Delay)
	took := time.Since(intended)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if err != nil {
		r.count(err)
		return
	}
	_ = r.histogram.RecordValue(min(took.Microseconds(), maxLatency.Microseconds()))
	if a.Complete {
		r.Complete++
	} else {
		r.Partial++
	}
	if took.Microseconds() <= r.deadlineUs+2*l.Delay.Microseconds() {
		r.InTime++
	}
	r.attempts += a.Attempts
	r.needed += a.Coverage.ShardsTotal
	r.covered += float64(a.Coverage.DocumentsSearched) / float64(max(1, a.Coverage.DocumentsTotal))
}

func (r *Result) count(err error) {
	var refused *caller.Refused
	if errors.As(err, &refused) {
		r.Refused[refused.Kind]++
		return
	}
	r.Failed++
}

func (r *Result) finish() {
	h := r.histogram
	r.P50, r.P99, r.P999, r.Max = h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()
	if answered := r.Complete + r.Partial; answered > 0 {
		r.Coverage = r.covered / float64(answered)
		r.ExtraLoad = float64(r.attempts)/float64(max(1, r.needed)) - 1
	}
}

func (r *Result) progress(w io.Writer, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(w, "\r%4.0fs  sent %d  complete %d  partial %d  p99 %.1f ms ",
		at.Seconds(), r.Sent, r.Complete, r.Partial, float64(r.histogram.ValueAtQuantile(99))/1000)
}

// String returns the result for a terminal.
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
