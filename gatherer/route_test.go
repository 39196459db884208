package gatherer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// routeCounts counts the attempts of a random run by what was sent and which faults followed. A test compares the counts
// with the limits of the plan.
type routeCounts struct {
	mayHaveRun map[int32]int // by shard, attempts that may have run
	sent       int           // attempts counted so far, also those that found no connection
	notSent    int           // attempts that ended with FaultNotSent
}

// runRandomRoute drives a query with random events and calls check after each of them.
func runRandomRoute(t *rapid.T, change func(*testBench, *Plan), check func(*testBench, *routeCounts)) {
	tokens := rapid.IntRange(0, 20).Draw(t, "tokens")
	b := newTestBench(rapid.IntRange(1, 6).Draw(t, "shards"), tokens, change)
	counts := &routeCounts{mayHaveRun: map[int32]int{}}
	countSends := func() {
		for _, a := range b.sent[counts.sent:] {
			counts.mayHaveRun[a.Shard]++
		}
		counts.sent = len(b.sent)
	}
	countSends()
	for range rapid.IntRange(0, 40).Draw(t, "events") {
		id := rapid.Int32Range(0, int32(len(b.sent))-1).Draw(t, "attempt")
		switch rapid.IntRange(0, 2).Draw(t, "event") {
		case 0:
			b.answer(id)
		case 1:
			f := Fault(rapid.IntRange(1, int(FaultMisdirected)).Draw(t, "fault"))
			if b.q.isOpen(id) && f.NotRun() {
				counts.mayHaveRun[b.sent[id].Shard]--
			}
			if b.q.isOpen(id) && f == FaultNotSent {
				counts.notSent++
			}
			b.fault(id, f)
		case 2:
			b.wait(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
		}
		countSends()
		check(b, counts)
	}
}

func TestRoutePlanIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRuns := rapid.IntRange(1, 3).Draw(t, "max runs")
		tokens := 0
		runRandomRoute(t, func(b *testBench, p *Plan) {
			p.MaxRuns, p.ChargeEveryRetry, p.FailFast = maxRuns, true, true
			tokens = b.tokens
		}, func(b *testBench, counts *routeCounts) {
			for shard, n := range counts.mayHaveRun {
				if n > maxRuns {
					t.Fatalf("shard %d has %d attempts that may have run, at most %d are allowed", shard, n, maxRuns)
				}
			}
			primaries := len(b.q.shards)
			if extra := len(b.sent) - primaries - counts.notSent; extra > tokens {
				t.Fatalf("%d extra attempts sent with a budget of %d", extra, tokens)
			}
		})
	})
}

func TestRouteAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runRandomRoute(t, func(b *testBench, p *Plan) {
			p.AtMostOnce, p.ChargeEveryRetry, p.MaxRuns = true, true, 2
			b.hold = func(bool) bool { return false }
		}, func(_ *testBench, counts *routeCounts) {
			for shard, n := range counts.mayHaveRun {
				if n > 1 {
					t.Fatalf("shard %d has %d attempts that may have run, at most 1 is allowed", shard, n)
				}
			}
		})
	})
}

func TestRouteEndsOnceCoverageIsOutOfReach(t *testing.T) {
	b := newTestBench(4, 0, func(_ *testBench, p *Plan) { p.FailFast, p.LeastCoverage, p.ChargeEveryRetry = true, 0.75, true })
	b.answer(0)
	b.fault(1, FaultRejected)
	if b.q.Done() {
		t.Fatal("the query ended after one of four shards failed, although three are enough")
	}
	b.fault(2, FaultRejected)
	if !b.q.Done() || b.count(ActionCancel) != 1 {
		t.Error("two of four shards failed: the query must end and cancel its one open attempt")
	}
}
