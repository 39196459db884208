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
	s := NewObserver().Searcher(addr)
	fail := func(unreachable bool) {
		s.Begin(epoch)
		s.Failed(epoch, unreachable)
	}
	fail(false)
	fail(false)
	if s.Ejected(epoch) {
		t.Error("two failures eject")
	}
	fail(false)
	if !s.Ejected(epoch) || s.Ejected(epoch.Add(EjectBase)) {
		t.Error("three failures in a row must eject for the base time")
	}
	fail(true)
	if !s.Ejected(epoch.Add(EjectBase)) {
		t.Error("the second ejection must last longer, and one refused connection is enough")
	}
}

func TestSearcherDraining(t *testing.T) {
	s := NewObserver().Searcher(addr)
	if !s.Drain(epoch) || s.Drain(epoch) {
		t.Error("only the first word of draining is news")
	}
	if !s.Draining(epoch.Add(DrainingMemory - 1)) {
		t.Error("draining is forgotten too early")
	}
	s.Returned(epoch.Add(time.Second), epoch.Add(-time.Second))
	if !s.Draining(epoch.Add(time.Second)) {
		t.Error("an answer to work sent before must not end the draining")
	}
	s.Returned(epoch.Add(time.Second), epoch.Add(time.Second/2))
	if s.Draining(epoch.Add(time.Second)) {
		t.Error("a searcher that takes work again is not draining")
	}
}

func TestSearcherCost(t *testing.T) {
	o := NewObserver()
	fast, slow := o.Searcher(addr), o.Searcher(netip.MustParseAddrPort("10.0.0.2:7000"))
	for range 10 {
		fast.Begin(epoch)
		fast.Answered(epoch, 4*time.Millisecond)
	}
	slow.Begin(epoch)
	slow.Cancelled(epoch, 20*time.Millisecond)
	if slow.Cost(epoch, 2, 0) < 5*fast.Cost(epoch, 2, 0) {
		t.Error("one cancelled hedge loser must make a searcher dear at once")
	}
	later := epoch.Add(10 * LatencyDecay)
	if slow.Cost(later, 2, 0) > 2*fast.Cost(later, 2, 0) {
		t.Error("a slow answer is never forgotten")
	}
	before := fast.Cost(epoch, 2, 0)
	fast.Begin(epoch)
	fast.Begin(epoch)
	if fast.Cost(epoch, 2, 0) != 2*before {
		t.Error("a full set of slots must double the cost")
	}
	cold := o.Searcher(netip.MustParseAddrPort("10.0.0.3:7000"))
	cold.Drain(epoch.Add(-time.Second))
	cold.Returned(epoch, epoch)
	if cold.Cost(epoch, 2, 0) != ColdPenalty*float64(InitialLatency) {
		t.Error("a cold searcher must start slowly")
	}
}

func TestServiceHedgeDelay(t *testing.T) {
	s := NewService()
	if s.HedgeDelay(epoch, 0.9) != InitialHedge {
		t.Error("without samples the delay is the initial one")
	}
	for i := range 1000 {
		s.Record(time.Duration(i%100+1) * time.Millisecond)
	}
	if d := s.HedgeDelay(epoch, 0.9); d < 85*time.Millisecond || d > 100*time.Millisecond {
		t.Errorf("0.9 quantile of 1 to 100 ms is %s", d)
	}
}

func TestQuarantine(t *testing.T) {
	q := NewQuarantine()
	f := FingerprintOf("cover", []byte("poison"))
	until := epoch.Add(QuarantinePeriod)
	if !q.Add(f, epoch, until) || q.Add(f, epoch, until) {
		t.Error("only the first quarantine is news")
	}
	if !q.Holds(f, epoch) || q.Holds(f, until) || q.Holds(FingerprintOf("cover", []byte("other")), epoch) {
		t.Error("quarantine holds the wrong requests or for the wrong time")
	}
	if f == FingerprintOf("coverp", []byte("oison")) {
		t.Error("fingerprints of different requests agree")
	}
	if q.Suspect(f, epoch) || !q.Suspect(f, epoch) {
		t.Error("only the second lonely loss is a suspicion come true")
	}
	q.Good(f.At(1), epoch)
	if !q.KnownGood(f.At(1), epoch) || q.KnownGood(f.At(2), epoch) {
		t.Error("good on one snapshot says nothing of another")
	}
	for i := range 2 * MaxQuarantined {
		q.Add(Fingerprint(i), epoch, until.Add(time.Duration(i)))
	}
	if n := len(q.List(epoch)); n > MaxQuarantined {
		t.Errorf("%d requests are quarantined", n)
	}
}

// BenchmarkSearcher measures the memory of what is known of a searcher and the time of one attempt's bookkeeping.
func BenchmarkSearcher(b *testing.B) {
	const n = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	o := NewObserver()
	for i := range n {
		s := o.Searcher(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
		s.Holds("x", []modeler.SnapshotID{1, 2})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	s := o.Searcher(addr)
	for b.Loop() {
		s.Begin(epoch)
		s.Cost(epoch, 2, 0)
		s.Answered(epoch, time.Millisecond)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/searcher")
}

// BenchmarkService measures the memory of a service's latency and the time to record one answer.
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
