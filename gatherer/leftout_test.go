package gatherer

import (
	"testing"
	"time"
)

// One of ten shards is left out because its service is overloaded; nine are enough.
func TestLeftOutShardsAreNotAskedWithoutNeed(t *testing.T) {
	b := newTestBench(10, 10, func(_ *testBench, p *Plan) {
		p.LeastCoverage, p.FailFast = 0.89, true
		p.Shards[3].LeftOut = true
	})
	if len(b.sent) != 9 {
		t.Fatalf("%d attempts sent, want 9: one for each shard that is not left out", len(b.sent))
	}
	for i, a := range b.sent {
		if a.Shard == 3 {
			t.Fatal("an attempt was sent to shard 3, which is left out")
		}
		b.answer(int32(i))
	}
	if !b.q.Done() || b.q.AnsweredShards() != 9 {
		t.Errorf("done %v with %d shards answered, want the query done with 9", b.q.Done(), b.q.AnsweredShards())
	}
	if missing := b.q.MissingShards(); len(missing) != 1 || missing[0] != "s3" {
		t.Errorf("missing shards %v, want only s3, which is left out", missing)
	}
}

// Nine of ten shards are needed and one is left out. When another shard fails, the left-out shard is asked, and the
// query ends once that fails as well.
func TestLeftOutShardsAreAskedWhereTheyAreNeeded(t *testing.T) {
	b := newTestBench(10, 0, func(b *testBench, p *Plan) {
		p.LeastCoverage, p.FailFast = 0.89, true
		p.Shards[3].LeftOut = true
		b.hold = func(bool) bool { return false }
	})
	b.fault(0, FaultRejected)
	if b.q.Done() {
		t.Fatal("the query ended although it could still ask the left-out shard")
	}
	if n := len(b.sent); n != 10 || b.sent[9].Shard != 3 || b.sent[9].Purpose != Primary {
		t.Fatalf("%d attempts sent, the last %+v; want 10, the last a primary attempt to left-out shard 3", n, b.sent[n-1])
	}
	b.fault(9, FaultRejected)
	if !b.q.Done() || len(b.sent) != 10 {
		t.Error("the query did not end, or sent more, although its least coverage is out of reach")
	}
}

// While lapsed registrations of searchers come back one by one, some shards have no searcher.
func TestNothingIsSentWhereTooFewShardsHaveASearcher(t *testing.T) {
	tests := []struct {
		name       string
		leftOut    []int
		noSearcher []int32 // shards without a searcher
		sent       int
	}{
		{"all shards have a searcher", nil, nil, 10},
		{"as many shards as may be missing have no searcher", nil, []int32{4}, 9},
		{"too many shards have no searcher", nil, []int32{4, 7}, 0},
		{"one shard is left out and another has no searcher", []int{3}, []int32{4}, 9},
		{"one shard is left out and two others have no searcher", []int{3}, []int32{4, 7}, 0},
		{"the left-out shard has no searcher", []int{3}, []int32{3}, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(10, 10, func(b *testBench, p *Plan) {
				p.LeastCoverage, p.FailFast = 0.89, true
				b.shardsWithoutSearcher = tt.noSearcher
				for _, i := range tt.leftOut {
					p.Shards[i].LeftOut = true
				}
			})
			if len(b.sent) != tt.sent {
				t.Errorf("%d attempts sent, want %d", len(b.sent), tt.sent)
			}
			if done := b.q.Done(); done != (tt.sent == 0) {
				t.Errorf("done is %v after the start; a query is done at once exactly if it sends nothing", done)
			}
			if b.q.MayHaveRun() != (tt.sent > 0) {
				t.Errorf("MayHaveRun returned %v after the start; it is true exactly if something was sent", b.q.MayHaveRun())
			}
		})
	}
}

func TestLeftOutShardsCountAgainstTheLeastCoverage(t *testing.T) {
	b := newTestBench(10, 0, func(_ *testBench, p *Plan) {
		p.LeastCoverage, p.Patience = 0.89, epoch.Add(20*time.Millisecond)
		p.Shards[3].LeftOut = true
	})
	for i := range 8 {
		b.answer(int32(i))
	}
	b.wait(30 * time.Millisecond)
	if b.q.Done() {
		t.Error("the query ended after its patience with 8 of 10 shards, below its least coverage of 0.89")
	}
}
