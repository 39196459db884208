package gatherer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

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
