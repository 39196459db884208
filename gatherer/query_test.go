package gatherer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func TestQuery(t *testing.T) {
	tests := []struct {
		name     string
		shards   int
		tokens   int
		change   func(*testBench, *Plan)
		steps    func(*testBench)
		sent     int
		answered int
		done     bool
	}{
		{name: "all shards answer", shards: 2, steps: func(b *testBench) { b.answer(0); b.answer(1) }, sent: 2, answered: 2, done: true},
		{name: "an answer of another snapshot is dropped and the shard retried", shards: 2, tokens: 1, steps: func(b *testBench) {
			c := b.claim(0)
			c.Snapshot = 8
			b.handle(Event{Kind: EventAnswer, Attempt: 0, Claim: c})
		}, sent: 3},
		{name: "a truncated answer does not count", shards: 2, steps: func(b *testBench) {
			c := b.claim(0)
			c.Documents = 5
			b.handle(Event{Kind: EventAnswer, Attempt: 0, Claim: c})
		}, sent: 2},
		{name: "a repeated answer counts once", shards: 2, steps: func(b *testBench) { b.answer(0); b.answer(0) }, sent: 2, answered: 1},
		{name: "a shed attempt is retried within the budget", shards: 2, tokens: 1, steps: func(b *testBench) { b.fault(0, FaultShed); b.fault(1, FaultShed) }, sent: 3},
		{name: "a retry after draining takes nothing from the budget", shards: 1, steps: func(b *testBench) { b.fault(0, FaultDraining) }, sent: 2},
		{name: "a shard with a lost attempt is held until an answer clears the query", shards: 2, tokens: 9, steps: func(b *testBench) { b.fault(0, FaultLost) }, sent: 2},
		{name: "an answer releases the held shard", shards: 2, tokens: 9, steps: func(b *testBench) { b.fault(0, FaultLost); b.answer(1) }, sent: 3, answered: 1},
		{name: "a request that is known to be good is not held", shards: 2, tokens: 9, change: func(_ *testBench, p *Plan) { p.KnownGood = true }, steps: func(b *testBench) { b.fault(0, FaultLost) }, sent: 3},
		{name: "a slow shard is hedged after the first answer", shards: 2, tokens: 1, steps: func(b *testBench) { b.answer(0); b.wait(11 * time.Millisecond) }, sent: 3, answered: 1},
		{name: "before the first answer only probes are sent", shards: 5, tokens: 9, steps: func(b *testBench) { b.wait(11 * time.Millisecond) }, sent: 5 + CanaryProbes},
		{name: "after a loss, a probe that finds no connection is not retried on a second replica", shards: 5, tokens: 9, steps: func(b *testBench) {
			b.wait(11 * time.Millisecond)
			b.fault(0, FaultLost)
			b.fault(5, FaultNotSent)
		}, sent: 5 + CanaryProbes},
		{name: "a hedge without budget is not sent", shards: 2, steps: func(b *testBench) { b.answer(0); b.wait(11 * time.Millisecond) }, sent: 2, answered: 1},
		{name: "the deadline ends the query with a partial answer", shards: 2, steps: func(b *testBench) { b.answer(0); b.wait(101 * time.Millisecond) }, sent: 2, answered: 1, done: true},
		{name: "the end of the patience ends a query with enough coverage", shards: 4, change: func(_ *testBench, p *Plan) {
			p.Patience, p.LeastCoverage = epoch.Add(20*time.Millisecond), 0.75
		}, steps: func(b *testBench) { b.answer(0); b.answer(1); b.answer(2); b.wait(21 * time.Millisecond) }, sent: 4, answered: 3, done: true},
		{name: "the end of the patience does not end a query without enough coverage", shards: 4, change: func(_ *testBench, p *Plan) {
			p.Patience, p.LeastCoverage = epoch.Add(20*time.Millisecond), 0.75
		}, steps: func(b *testBench) { b.answer(0); b.answer(1); b.wait(21 * time.Millisecond) }, sent: 4, answered: 2},
		{name: "nothing is sent after the deadline", shards: 2, change: func(_ *testBench, p *Plan) { p.Deadline = epoch }, steps: func(*testBench) {}, done: true},
		{name: "the end of the context ends the query", shards: 2, steps: func(b *testBench) { b.handle(Event{Kind: EventContextDone}) }, sent: 2, done: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(tt.shards, tt.tokens, tt.change)
			tt.steps(b)
			if len(b.sent) != tt.sent || b.q.AnsweredShards() != tt.answered || b.q.Done() != tt.done {
				t.Errorf("sent %d, answered %d, done %v; want %d, %d, %v", len(b.sent), b.q.AnsweredShards(), b.q.Done(), tt.sent, tt.answered, tt.done)
			}
		})
	}
}

// A slow shard's hedge is denied as Hedge and as LateHedge, and sent as Probe. The scatterer takes a probe of a search
// from the retry budget.
func TestStragglerFallsBackOnTheRetryBudget(t *testing.T) {
	b := newTestBench(2, 0, nil)
	var asked []Purpose
	b.q.hooks.Spend = func(_ time.Time, _ int32, p Purpose) bool {
		asked = append(asked, p)
		return p == Probe
	}
	b.answer(0)
	for range 4 {
		b.wait(11 * time.Millisecond)
	}
	if len(b.sent) != 3+1 || fmt.Sprint(asked[:3]) != "[hedge late-hedge probe]" {
		t.Errorf("the Spend hook was asked for %v and %d attempts were sent, want [hedge late-hedge probe] first and 4 attempts", asked, len(b.sent))
	}
}

func TestQueryJudgesLosses(t *testing.T) {
	queryAfterLosses := func(v Verdict) *testBench {
		b := newTestBench(4, 9, nil)
		b.fault(0, FaultLost)
		b.fault(1, FaultLost)
		if b.count(ActionCheck) != 1 {
			t.Fatalf("two of four attempts were lost and none was answered: want exactly one check")
		}
		b.handle(Event{Kind: EventVerdict, Verdict: v})
		return b
	}
	if b := queryAfterLosses(Poisonous); b.count(ActionQuarantine) != 1 || !b.q.Done() || len(b.sent) != 4 {
		t.Error("a poisonous request must be quarantined and end without another attempt")
	}
	if b := queryAfterLosses(Undecided); len(b.sent) != 4 || b.q.Done() {
		t.Error("after the verdict undecided, nothing may be sent and the query must not end while attempts are open")
	}
	if b := queryAfterLosses(Innocent); len(b.sent) != 5 {
		t.Error("after the verdict innocent, exactly one held shard must be sent to another replica")
	}
}

// BenchmarkQuery measures one event of a query over 1,000 shards.
func BenchmarkQuery(b *testing.B) {
	const shards = 1000
	var out []Action
	for b.Loop() {
		b.StopTimer()
		x := newTestBench(shards, 0, nil)
		events := make([]Event, shards)
		for i := range events {
			events[i] = Event{Kind: EventAnswer, Attempt: int32(i), Claim: x.claim(int32(i))}
		}
		out = make([]Action, 0, 4)
		b.StartTimer()
		for i := range events {
			out = x.q.Handle(x.now, &events[i], out[:0])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/event")
}

// Guards against attempts that go back unasked to a searcher which has begun to leave since it was picked.
func TestNoHedgeOrProbeGoesToASearcherThatMayNotBeSentRequests(t *testing.T) {
	for _, hold := range []func(bool) bool{HoldUntilCleared, func(bool) bool { return false }} {
		for _, leaves := range []bool{false, true} {
			b := newTestBench(1, 10, func(b *testBench, _ *Plan) {
				b.hold = hold
				b.maySend = func(time.Time, int32) bool { return !leaves }
			})
			b.shardsWithoutSearcher = []int32{0}
			b.q.shards[0].hedges = 1 // the first hedge has found no other searcher
			for range 5 {
				b.wait(15 * time.Millisecond)
			}
			if again := len(b.sent) > 1; again == leaves {
				t.Errorf("searcher leaves: %v, but its %d attempts say the opposite", leaves, len(b.sent))
			}
		}
	}
}
