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

// Nine of ten shards are needed and one is left out: when another fails, the one that was left out is asked after all, and the query ends once that fails, too.
func TestLeftOutShardsAreAskedWhereTheyAreNeeded(t *testing.T) {
	b := newBench(10, 0, func(b *bench, p *Plan) {
		p.LeastCoverage, p.WholeOrNone = 0.89, true
		p.Shards[3].LeftOut = true
		b.hold = func(bool) bool { return false }
	})
	b.fault(0, FaultRejected)
	if b.q.Done() {
		t.Fatal("a query ended though a shard that was left out could be asked")
	}
	if n := len(b.sent); n != 10 || b.sent[9].Shard != 3 || b.sent[9].Purpose != Primary {
		t.Fatalf("%d attempts, the last %+v: the shard that was left out is asked once", n, b.sent[n-1])
	}
	b.fault(9, FaultRejected)
	if !b.q.Done() || len(b.sent) != 10 {
		t.Error("a query goes on though its least coverage is out of reach")
	}
}

// The load: a deployment whose registrations lapsed and come back one by one.
func TestNothingIsSentWhereTooFewShardsHaveASearcher(t *testing.T) {
	tests := []struct {
		name    string
		leftOut []int
		without []int32
		sent    int
	}{
		{"all have one", nil, nil, 10},
		{"as many as may be missing have none", nil, []int32{4}, 9},
		{"too many have none", nil, []int32{4, 7}, 0},
		{"one is left out and another has none", []int{3}, []int32{4}, 9},
		{"one is left out and two have none", []int{3}, []int32{4, 7}, 0},
		{"the one that is left out has none", []int{3}, []int32{3}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(10, 10, func(b *bench, p *Plan) {
				p.LeastCoverage, p.WholeOrNone = 0.89, true
				b.without = tt.without
				for _, i := range tt.leftOut {
					p.Shards[i].LeftOut = true
				}
			})
			if len(b.sent) != tt.sent {
				t.Errorf("%d attempts were sent, not %d", len(b.sent), tt.sent)
			}
			if done := b.q.Done(); done != (tt.sent == 0) {
				t.Errorf("done: %v", done)
			}
			if b.q.MayHaveRun() != (tt.sent > 0) {
				t.Errorf("may have run: %v", b.q.MayHaveRun())
			}
		})
	}
}

func TestLeftOutShardsCountAgainstTheLeastCoverage(t *testing.T) {
	b := newBench(10, 0, func(_ *bench, p *Plan) {
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
