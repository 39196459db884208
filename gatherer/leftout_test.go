package gatherer

import (
	"testing"
	"time"
)

// The load: some of ten shards belong to overloaded services.
func TestLeftOutShardsAreNeverAsked(t *testing.T) {
	b := newBench(10, 10, func(_ *bench, p *Plan) {
		p.LeastCoverage, p.WholeOrNone = 0.89, true
		p.Shards[3].LeftOut = true
	})
	if len(b.sent) != 9 {
		t.Fatalf("%d shards asked", len(b.sent))
	}
	for i, a := range b.sent {
		if a.Shard == 3 {
			t.Fatal("the shard that is left out was asked")
		}
		b.answer(int32(i))
	}
	if !b.q.Done() || b.q.Answered() != 9 {
		t.Errorf("done %v with %d answers: nothing is left to wait for", b.q.Done(), b.q.Answered())
	}
	if missing := b.q.Missing(); len(missing) != 1 || missing[0] != "s3" {
		t.Errorf("missing %v: coverage must be told truly", missing)
	}
}

func TestLeftOutShardsCountAgainstTheLeastCoverage(t *testing.T) {
	b := newBench(10, 0, func(b *bench, p *Plan) {
		p.LeastCoverage, p.WholeOrNone = 0.89, true
		p.Shards[3].LeftOut = true
		b.hold = func(bool) bool { return false }
	})
	b.fault(0, FaultRejected)
	if !b.q.Done() {
		t.Error("a query goes on though its least coverage is out of reach")
	}
	b = newBench(10, 0, func(_ *bench, p *Plan) {
		p.LeastCoverage, p.Patience = 0.89, epoch.Add(20*time.Millisecond)
		p.Shards[3].LeftOut = true
	})
	for i := range 8 {
		b.answer(int32(i))
	}
	b.wait(30 * time.Millisecond)
	if b.q.Done() {
		t.Error("a query ended with 8 of 10 shards")
	}
}
