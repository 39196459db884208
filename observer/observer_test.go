package observer

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	addr  = netip.MustParseAddrPort("10.0.0.1:7000")
)

func TestSearcherEjection(t *testing.T) {
	s := NewObserver().At(addr)[0]
	fail := func(unreachable bool) {
		s.Begin(epoch)
		s.Failed(epoch, unreachable)
	}
	fail(false)
	fail(false)
	if s.Ejected(epoch) {
		t.Error("searcher ejected after two failures, want three")
	}
	fail(false)
	if !s.Ejected(epoch) || s.Ejected(epoch.Add(EjectBase)) {
		t.Error("three failures in a row must eject the searcher for EjectBase")
	}
	fail(true)
	if !s.Ejected(epoch.Add(EjectBase)) {
		t.Error("one unreachable attempt must eject again, for longer than EjectBase")
	}
}

func TestSearcherDraining(t *testing.T) {
	s := NewObserver().At(addr)[0]
	if !s.MarkDraining(epoch) || s.MarkDraining(epoch) {
		t.Error("MarkDraining must return true for the first report and false for the second")
	}
	if !s.Draining(epoch.Add(DrainingMemory - 1)) {
		t.Error("draining ended before DrainingMemory")
	}
	s.Begin(epoch.Add(time.Second))
	s.Answered(epoch.Add(time.Second), time.Millisecond)
	if !s.Draining(epoch.Add(DrainingMemory - 1)) {
		t.Error("an answer ended draining, but its attempt was assigned before the report")
	}
	if s.Draining(epoch.Add(DrainingMemory)) {
		t.Error("draining lasted longer than DrainingMemory")
	}
}

func TestSearcherCost(t *testing.T) {
	o := NewObserver()
	fast, slow := o.At(addr)[0], o.At(netip.MustParseAddrPort("10.0.0.2:7000"))[0]
	for range 10 {
		fast.Begin(epoch)
		fast.Answered(epoch, 4*time.Millisecond)
	}
	slow.Begin(epoch)
	slow.Cancelled(epoch, 20*time.Millisecond)
	if slow.Cost(epoch, 2, 0) < 5*fast.Cost(epoch, 2, 0) {
		t.Error("a searcher whose attempt was cancelled after 20 ms must cost at least 5 times as much as one that answers in 4 ms")
	}
	later := epoch.Add(10 * LatencyDecay)
	if slow.Cost(later, 2, 0) > 2*fast.Cost(later, 2, 0) {
		t.Error("after 10 * LatencyDecay a slow searcher costs more than twice as much as a fast one")
	}
	before := fast.Cost(epoch, 2, 0)
	fast.Begin(epoch)
	fast.Begin(epoch)
	if fast.Cost(epoch, 2, 0) != 2*before {
		t.Error("attempts in all slots must double the cost")
	}
	cold := o.At(netip.MustParseAddrPort("10.0.0.3:7000"))[0]
	cold.SetSlowUntil(epoch.Add(SlowStart))
	if cold.Cost(epoch, 2, 0) != ColdPenalty*float64(InitialLatency) {
		t.Error("cost of a returning searcher must be ColdPenalty times InitialLatency")
	}
}

func TestServiceHedgeDelay(t *testing.T) {
	s := NewService()
	if s.HedgeDelay(epoch, 0.9) != InitialHedge {
		t.Error("hedge delay without samples must be InitialHedge")
	}
	for i := range 1000 {
		s.Record(time.Duration(i%100+1) * time.Millisecond)
	}
	if d := s.HedgeDelay(epoch, 0.9); d < 85*time.Millisecond || d > 100*time.Millisecond {
		t.Errorf("0.9 quantile of 1 to 100 ms is %s, want 85 to 100 ms", d)
	}
}

func TestQuarantine(t *testing.T) {
	q := NewQuarantine()
	f := FingerprintOf("cover", []byte("poison"))
	until := epoch.Add(QuarantinePeriod)
	if !q.Add(f, epoch, until) || q.Add(f, epoch, until) {
		t.Error("Add must return true for a new request and false for a quarantined one")
	}
	if !q.Contains(f, epoch) || q.Contains(f, until) || q.Contains(FingerprintOf("cover", []byte("other")), epoch) {
		t.Error("the quarantine must contain only the added request, and only until the given time")
	}
	if FingerprintOfMessage("cover", "GET", "/a", []byte("poison")) != FingerprintOf("cover", []byte("GET /a\x00poison")) {
		t.Error("the fingerprint of a request on a route is not that of its method, target and body")
	}
	if f == FingerprintOf("coverp", []byte("oison")) {
		t.Error("equal fingerprints of different requests: the index name must be separated from the body")
	}
	q.RecordGood(f, 1, epoch)
	if !q.KnownGood(f, 1, epoch) || q.KnownGood(f, 2, epoch) || q.KnownGood(f, 1, epoch.Add(KnownGoodPeriod)) {
		t.Error("a request answered on snapshot 1 must be known good there for KnownGoodPeriod, and not on snapshot 2")
	}
	if q.Contains(f, epoch) {
		t.Error("a request that was answered is still quarantined")
	}
	for i := range 2 * MaxQuarantined {
		q.Add(Fingerprint(i), epoch, until.Add(time.Duration(i)))
	}
	if n := len(q.List(epoch)); n > MaxQuarantined {
		t.Errorf("%d requests are quarantined, more than MaxQuarantined", n)
	}
}

// BenchmarkSearcher measures the memory of one searcher's state and the time to record one attempt.
func BenchmarkSearcher(b *testing.B) {
	const n = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	o := NewObserver()
	for i := range n {
		s := o.At(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))[0]
		s.SetSnapshots("x", []modeler.SnapshotID{1, 2})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	s := o.At(addr)[0]
	for b.Loop() {
		s.Begin(epoch)
		s.Cost(epoch, 2, 0)
		s.Answered(epoch, time.Millisecond)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/searcher")
}

// BenchmarkService measures the memory of one service without answers and the time to record an answer.
func BenchmarkService(b *testing.B) {
	const n = 1000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	all := make([]*Service, n)
	for i := range all {
		all[i] = NewService()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		all[0].Record(3 * time.Millisecond)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/service")
}
