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

// bench is a query over n shards with three replicas each; replica r of shard s is searcher s*replicas+r.
type bench struct {
	q       *Query
	now     time.Time
	sent    []Action
	other   []Action
	tokens  int
	mixed   bool
	hold    func(bool) bool
	matches func(want, got Claim) bool
	without []int32 // shards without a searcher
}

func newBench(n, tokens int, change func(*bench, *Plan)) *bench {
	b := &bench{now: epoch, tokens: tokens, hold: HoldUntilCleared, matches: MatchesExactly}
	plan := Plan{Request: "r", Snapshot: 7, Deadline: epoch.Add(100 * time.Millisecond), Patience: epoch.Add(100 * time.Millisecond), LeastCoverage: 1, Probes: CanaryProbes}
	for i := range n {
		plan.Shards = append(plan.Shards, Shard{Name: modeler.ShardName(fmt.Sprint("s", i)), Documents: 10})
	}
	if change != nil {
		change(b, &plan)
	}
	b.q = NewQuery(plan, Hooks{
		Pick: func(_ time.Time, shard int32, tried []int32) (int32, bool) {
			if contains(b.without, shard) {
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
		Hold:       b.hold, Matches: b.matches,
	})
	b.do(Event{Kind: EventStart})
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

func (b *bench) do(e Event) {
	for _, a := range b.q.Handle(b.now, &e, nil) {
		if a.Kind == ActionSend {
			b.sent = append(b.sent, a)
		} else {
			b.other = append(b.other, a)
		}
	}
}

func (b *bench) answer(id int32) {
	b.do(Event{Kind: EventAnswer, Attempt: id, Claim: b.claim(id)})
}

func (b *bench) claim(id int32) Claim {
	return Claim{"r", id, modeler.ShardName(fmt.Sprint("s", b.sent[id].Shard)), 7, 10}
}

func (b *bench) fault(id int32, f Fault) {
	b.mixed = b.mixed || f != FaultLost
	b.do(Event{Kind: EventFault, Attempt: id, Fault: f})
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.do(Event{Kind: EventTick})
}

func (b *bench) count(k ActionKind) int {
	n := 0
	for _, a := range b.other {
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
		change   func(*bench, *Plan)
		play     func(*bench)
		sent     int
		answered int
		done     bool
	}{
		{name: "all answer", shards: 2, play: func(b *bench) { b.answer(0); b.answer(1) }, sent: 2, answered: 2, done: true},
		{name: "answer of another snapshot is dropped and retried", shards: 2, tokens: 1, play: func(b *bench) {
			c := b.claim(0)
			c.Snapshot = 8
			b.do(Event{Kind: EventAnswer, Attempt: 0, Claim: c})
		}, sent: 3},
		{name: "truncated answer does not count", shards: 2, play: func(b *bench) {
			c := b.claim(0)
			c.Documents = 5
			b.do(Event{Kind: EventAnswer, Attempt: 0, Claim: c})
		}, sent: 2},
		{name: "repeated answer counts once", shards: 2, play: func(b *bench) { b.answer(0); b.answer(0) }, sent: 2, answered: 1},
		{name: "shed is retried within the budget", shards: 2, tokens: 1, play: func(b *bench) { b.fault(0, FaultShed); b.fault(1, FaultShed) }, sent: 3},
		{name: "draining costs no budget", shards: 1, play: func(b *bench) { b.fault(0, FaultDraining) }, sent: 2},
		{name: "first loss is held until an answer clears it", shards: 2, tokens: 9, play: func(b *bench) { b.fault(0, FaultLost) }, sent: 2},
		{name: "answer releases the held shard", shards: 2, tokens: 9, play: func(b *bench) { b.fault(0, FaultLost); b.answer(1) }, sent: 3, answered: 1},
		{name: "known good request is not held", shards: 2, tokens: 9, change: func(_ *bench, p *Plan) { p.KnownGood = true }, play: func(b *bench) { b.fault(0, FaultLost) }, sent: 3},
		{name: "straggler is hedged once an answer is in", shards: 2, tokens: 1, play: func(b *bench) { b.answer(0); b.wait(11 * time.Millisecond) }, sent: 3, answered: 1},
		{name: "before any answer only probes leave", shards: 5, tokens: 9, play: func(b *bench) { b.wait(11 * time.Millisecond) }, sent: 5 + CanaryProbes},
		{name: "after a loss a probe that finds nobody tries no second replica", shards: 5, tokens: 9, play: func(b *bench) {
			b.wait(11 * time.Millisecond)
			b.fault(0, FaultLost)
			b.fault(5, FaultNotSent)
		}, sent: 5 + CanaryProbes},
		{name: "no budget, no hedge", shards: 2, play: func(b *bench) { b.answer(0); b.wait(11 * time.Millisecond) }, sent: 2, answered: 1},
		{name: "deadline ends it partial", shards: 2, play: func(b *bench) { b.answer(0); b.wait(101 * time.Millisecond) }, sent: 2, answered: 1, done: true},
		{name: "patience ends it with enough coverage", shards: 4, change: func(_ *bench, p *Plan) {
			p.Patience, p.LeastCoverage = epoch.Add(20*time.Millisecond), 0.75
		}, play: func(b *bench) { b.answer(0); b.answer(1); b.answer(2); b.wait(21 * time.Millisecond) }, sent: 4, answered: 3, done: true},
		{name: "patience waits without enough coverage", shards: 4, change: func(_ *bench, p *Plan) {
			p.Patience, p.LeastCoverage = epoch.Add(20*time.Millisecond), 0.75
		}, play: func(b *bench) { b.answer(0); b.answer(1); b.wait(21 * time.Millisecond) }, sent: 4, answered: 2},
		{name: "nothing is sent when no time is left", shards: 2, change: func(_ *bench, p *Plan) { p.Deadline = epoch }, play: func(*bench) {}, done: true},
		{name: "caller gone ends it", shards: 2, play: func(b *bench) { b.do(Event{Kind: EventGone}) }, sent: 2, done: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(tt.shards, tt.tokens, tt.change)
			tt.play(b)
			if len(b.sent) != tt.sent || b.q.Answered() != tt.answered || b.q.Done() != tt.done {
				t.Errorf("sent %d, answered %d, done %v; want %d, %d, %v", len(b.sent), b.q.Answered(), b.q.Done(), tt.sent, tt.answered, tt.done)
			}
		})
	}
}

func TestStragglerFallsBackOnTheRetryBudget(t *testing.T) {
	b := newBench(2, 0, nil)
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
		t.Errorf("asked for %v and sent %d", asked, len(b.sent))
	}
}

func TestQueryJudgesLosses(t *testing.T) {
	lose := func(v Verdict) *bench {
		b := newBench(4, 9, nil)
		b.fault(0, FaultLost)
		b.fault(1, FaultLost)
		if b.count(ActionCheck) != 1 {
			t.Fatalf("two of four lost and none answered must ask for a check")
		}
		b.do(Event{Kind: EventVerdict, Verdict: v})
		return b
	}
	if b := lose(Poisonous); b.count(ActionQuarantine) != 1 || !b.q.Done() || len(b.sent) != 4 {
		t.Error("a poisonous request must be quarantined without another attempt")
	}
	if b := lose(Undecided); len(b.sent) != 4 || b.q.Done() {
		t.Error("an undecided request must try nothing")
	}
	if b := lose(Innocent); len(b.sent) != 5 {
		t.Error("an innocent request must try one held shard elsewhere")
	}
}

// play drives a query with random events and returns it; secondReplica says that a shard reached a second replica before any answer, though an attempt of it was lost or nothing but losses had happened, as with a crashing request.
func play(t *rapid.T, change func(*bench, *Plan)) (b *bench, secondReplica bool) {
	b = newBench(rapid.IntRange(1, 12).Draw(t, "shards"), rapid.IntRange(0, 30).Draw(t, "tokens"), change)
	lost := map[int32]int{} // by shard, attempts sent when one of it was lost
	for range rapid.IntRange(0, 60).Draw(t, "events") {
		id := rapid.Int32Range(0, int32(len(b.sent))-1).Draw(t, "attempt")
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			b.answer(id)
		case 1:
			b.fault(id, Fault(rapid.IntRange(1, 9).Draw(t, "fault")))
		case 2:
			b.wait(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
		case 3:
			c := b.claim(id)
			c.Snapshot += modeler.SnapshotID(rapid.IntRange(0, 1).Draw(t, "other"))
			c.Documents -= uint64(rapid.IntRange(0, 1).Draw(t, "short"))
			b.mixed = true
			b.do(Event{Kind: EventAnswer, Attempt: id, Claim: c})
		case 4:
			if b.q.isOpen(id) {
				lost[b.sent[id].Shard] = len(b.sent)
			}
			b.fault(id, FaultLost)
		}
		if b.q.Answered() == 0 && (!b.mixed && reachedTwo(b) || wentOnAfterLoss(b, lost)) {
			secondReplica = true
		}
	}
	return b, secondReplica
}

// wentOnAfterLoss reports whether a shard was sent to another replica after one of its attempts was lost.
func wentOnAfterLoss(b *bench, lost map[int32]int) bool {
	for shard, n := range lost {
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

func reachedTwo(b *bench) bool {
	for i := range b.q.shards {
		s := &b.q.shards[i]
		for _, x := range s.tried[:s.tries] {
			if x != s.tried[0] {
				return true
			}
		}
	}
	return false
}

func TestQueryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, second := play(t, nil)
		if second {
			t.Fatal("a request that only lost connections reached a second replica")
		}
		merged := map[int32]bool{}
		for _, a := range b.other {
			if a.Kind != ActionMerge {
				continue
			}
			if merged[a.Shard] {
				t.Fatalf("shard %d was merged twice", a.Shard)
			}
			merged[a.Shard] = true
		}
		searched, _ := b.q.Documents()
		if len(merged) != b.q.Answered() || searched != uint64(10*len(merged)) {
			t.Fatalf("coverage of %d documents in %d shards after %d merges", searched, b.q.Answered(), len(merged))
		}
		if missing := len(b.q.Missing()); missing+b.q.Answered() != len(b.q.shards) {
			t.Fatalf("%d missing and %d answered of %d", missing, b.q.Answered(), len(b.q.shards))
		}
		b.wait(time.Second)
		if !b.q.Done() || b.count(ActionFinish) != 1 {
			t.Fatal("a query must finish once, at its deadline at the latest")
		}
	})
}

func TestQueryInvariantsTripWithoutMechanisms(t *testing.T) {
	second, wrong := false, false
	rapid.Check(t, func(t *rapid.T) {
		_, s := play(t, func(b *bench, _ *Plan) { b.hold = func(bool) bool { return false } })
		second = second || s
		b, _ := play(t, func(b *bench, _ *Plan) { b.matches = func(Claim, Claim) bool { return true } })
		searched, _ := b.q.Documents()
		wrong = wrong || searched != uint64(10*b.q.Answered())
	})
	if !second {
		t.Error("without the hold no run reached a second replica: the check cannot fail")
	}
	if !wrong {
		t.Error("without the match no run counted wrong documents: the check cannot fail")
	}
}

// BenchmarkQuery measures one event of a query over 1,000 shards.
func BenchmarkQuery(b *testing.B) {
	const shards = 1000
	var out []Action
	for b.Loop() {
		b.StopTimer()
		x := newBench(shards, 0, nil)
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
