package gatherer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

const replicas = 3

// testBench drives one query over n shards with three replicas each; replica r of shard s is searcher s*replicas+r.
type testBench struct {
	q                     *Query
	now                   time.Time
	sent                  []Action
	otherActions          []Action
	tokens                int  // extra attempts that the budget still allows
	nonLossEvents         bool // a fault other than a loss, or an altered answer, was handled
	hold                  func(bool) bool
	matches               func(want, got Claim) bool
	maySend               func(now time.Time, searcher int32) bool
	shardsWithoutSearcher []int32
}

func newTestBench(n, tokens int, change func(*testBench, *Plan)) *testBench {
	b := &testBench{now: epoch, tokens: tokens, hold: HoldUntilCleared, matches: MatchesExactly}
	plan := Plan{Request: "r", Snapshot: 7, Deadline: epoch.Add(100 * time.Millisecond), Patience: epoch.Add(100 * time.Millisecond), LeastCoverage: 1, Probes: CanaryProbes}
	for i := range n {
		plan.Shards = append(plan.Shards, Shard{Name: modeler.ShardName(fmt.Sprint("s", i)), Documents: 10})
	}
	if change != nil {
		change(b, &plan)
	}
	b.q = NewQuery(plan, Hooks{
		Pick: func(_ time.Time, shard int32, tried []int32) (int32, bool) {
			if contains(b.shardsWithoutSearcher, shard) {
				return 0, false
			}
			for r := range int32(replicas) {
				if s := shard*replicas + r; !contains(tried, s) {
					return s, true
				}
			}
			return 0, false
		},
		Spend: func(time.Time, int32, Purpose) bool {
			b.tokens--
			return b.tokens >= 0
		},
		HedgeAfter: func(int32) time.Duration { return 10 * time.Millisecond },
		Hold:       b.hold, Matches: b.matches, MaySend: b.maySend,
	})
	b.handle(Event{Kind: EventStart})
	return b
}

func contains(list []int32, v int32) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

func (b *testBench) handle(e Event) {
	for _, a := range b.q.Handle(b.now, &e, nil) {
		if a.Kind == ActionSend {
			b.sent = append(b.sent, a)
		} else {
			b.otherActions = append(b.otherActions, a)
		}
	}
}

func (b *testBench) answer(id int32) {
	b.handle(Event{Kind: EventAnswer, Attempt: id, Claim: b.claim(id)})
}

func (b *testBench) claim(id int32) Claim {
	return Claim{"r", id, modeler.ShardName(fmt.Sprint("s", b.sent[id].Shard)), 7, 10}
}

func (b *testBench) fault(id int32, f Fault) {
	b.nonLossEvents = b.nonLossEvents || f != FaultLost
	b.handle(Event{Kind: EventFault, Attempt: id, Fault: f})
}

func (b *testBench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.handle(Event{Kind: EventTick})
}

func (b *testBench) count(k ActionKind) int {
	n := 0
	for _, a := range b.otherActions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

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

// runRandomEvents drives a query with random events and returns it. secondReplica reports what the Hold hook must
// prevent: before any answer, a shard reached a second replica although one of its attempts had been lost, or although
// losses were the only faults so far, as with a request that crashes searchers.
func runRandomEvents(t *rapid.T, change func(*testBench, *Plan)) (b *testBench, secondReplica bool) {
	b = newTestBench(rapid.IntRange(1, 12).Draw(t, "shards"), rapid.IntRange(0, 30).Draw(t, "tokens"), change)
	sentAtLoss := map[int32]int{} // by shard, how many attempts the query had sent when one of the shard's was lost
	for range rapid.IntRange(0, 60).Draw(t, "events") {
		id := rapid.Int32Range(0, int32(len(b.sent))-1).Draw(t, "attempt")
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			b.answer(id)
		case 1:
			// 1 to 9 are all faults but FaultMisdirected.
			b.fault(id, Fault(rapid.IntRange(1, 9).Draw(t, "fault")))
		case 2:
			b.wait(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
		case 3:
			c := b.claim(id)
			c.Snapshot += modeler.SnapshotID(rapid.IntRange(0, 1).Draw(t, "other"))
			c.Documents -= uint64(rapid.IntRange(0, 1).Draw(t, "short"))
			b.nonLossEvents = true
			b.handle(Event{Kind: EventAnswer, Attempt: id, Claim: c})
		case 4:
			if b.q.isOpen(id) {
				sentAtLoss[b.sent[id].Shard] = len(b.sent)
			}
			b.fault(id, FaultLost)
		}
		if b.q.AnsweredShards() == 0 && (!b.nonLossEvents && reachedSecondReplica(b) || retriedElsewhereAfterLoss(b, sentAtLoss)) {
			secondReplica = true
		}
	}
	return b, secondReplica
}

// retriedElsewhereAfterLoss reports whether a shard was sent to another replica after one of its attempts was lost.
func retriedElsewhereAfterLoss(b *testBench, sentAtLoss map[int32]int) bool {
	for shard, n := range sentAtLoss {
		first := int32(-1)
		for i, a := range b.sent {
			if a.Shard != shard {
				continue
			}
			if first < 0 {
				first = a.Searcher
			}
			if i >= n && a.Searcher != first {
				return true
			}
		}
	}
	return false
}

func reachedSecondReplica(b *testBench) bool {
	for i := range b.q.shards {
		s := &b.q.shards[i]
		for _, x := range s.searchers[:s.attempts] {
			if x != s.searchers[0] {
				return true
			}
		}
	}
	return false
}

func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, secondReplica := runRandomEvents(t, nil)
		if secondReplica {
			t.Fatal("a request that may crash searchers reached a second replica before any answer")
		}
		merged := map[int32]bool{}
		for _, a := range b.otherActions {
			if a.Kind != ActionMerge {
				continue
			}
			if merged[a.Shard] {
				t.Fatalf("shard %d was merged twice", a.Shard)
			}
			merged[a.Shard] = true
		}
		searched, _ := b.q.Documents()
		if len(merged) != b.q.AnsweredShards() || searched != uint64(10*len(merged)) {
			t.Fatalf("%d documents searched and %d shards answered after %d merges of 10 documents each", searched, b.q.AnsweredShards(), len(merged))
		}
		if missing := len(b.q.MissingShards()); missing+b.q.AnsweredShards() != len(b.q.shards) {
			t.Fatalf("%d shards missing and %d answered do not add up to %d", missing, b.q.AnsweredShards(), len(b.q.shards))
		}
		b.wait(time.Second)
		if !b.q.Done() || b.count(ActionFinish) != 1 {
			t.Fatal("a query must finish once, at its deadline at the latest")
		}
	})
}

// The checks of TestQueryInvariants must fail once the mechanism that they guard is taken away.
func TestQueryInvariantsFailWithoutMechanisms(t *testing.T) {
	secondReplica, wrongDocuments := false, false
	rapid.Check(t, func(t *rapid.T) {
		_, s := runRandomEvents(t, func(b *testBench, _ *Plan) { b.hold = func(bool) bool { return false } })
		secondReplica = secondReplica || s
		b, _ := runRandomEvents(t, func(b *testBench, _ *Plan) { b.matches = func(Claim, Claim) bool { return true } })
		searched, _ := b.q.Documents()
		wrongDocuments = wrongDocuments || searched != uint64(10*b.q.AnsweredShards())
	})
	if !secondReplica {
		t.Error("no run without the hold reached a second replica: the check of TestQueryInvariants cannot fail")
	}
	if !wrongDocuments {
		t.Error("no run without the match counted wrong documents: the check of TestQueryInvariants cannot fail")
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
