package gatherer

import (
	"fmt"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

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
