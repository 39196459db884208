package relayer

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// part is the shards of one query whose services are in one bucket, and so share their relays.
type part struct {
	owners   []gossiper.Member // the relays, followed by the reserve
	snapshot *planner.Snapshot // only the shards of this part
}

// partResult is what the goroutine that runs one part reports.
type partResult struct {
	event  gatherer.Event
	result scatterer.Result
}

// relayedQuery is one query that runs through relays. Its state machine has parts in place of shards. It sends no
// probes before the first answer (Plan.Probes stays 0): a probe must reach the same replica again, but a relay that ran a
// part a second time would reach other replicas.
type relayedQuery struct {
	spreader    *Spreader
	req         scatterer.Request
	cancelQuery context.CancelFunc
	parts       []part
	hedges      *limiter.Budget
	query       *gatherer.Query
	results     chan partResult
	cancels     []context.CancelFunc // by attempt
	merged      []*scatterer.Result  // by part; nil for a part without an answer
	crashed     bool
	notHeld     bool
}

func newRelayedQuery(s *Spreader, req scatterer.Request, cancel context.CancelFunc) *relayedQuery {
	r := &relayedQuery{spreader: s, req: req, cancelQuery: cancel, parts: s.partition(req)}
	r.results = make(chan partResult, gatherer.MaxAttempts*len(r.parts))
	r.merged = make([]*scatterer.Result, len(r.parts))
	policy := req.Index.Policy
	r.hedges, _ = s.scatterer.Budgets.For(req.Index.Name, policy.HedgeShare, policy.RetryShare, len(req.Snapshot.Shards))
	// LeastCoverage 1 and Patience at the deadline make the query wait for all parts, at most until the deadline.
	plan := gatherer.Plan{
		Request: req.ID, Snapshot: req.Snapshot.ID, Deadline: req.Deadline, Patience: req.Deadline, LeastCoverage: 1,
		Shards: make([]gatherer.Shard, len(r.parts)),
	}
	for i, p := range r.parts {
		plan.Shards[i] = gatherer.Shard{Name: partName(i), Documents: documentCount(p.snapshot, nil)}
	}
	r.query = gatherer.NewQuery(plan, gatherer.Hooks{
		Pick: r.pick,
		// Only gatherer.Hedge takes from the budget. Late hedges, probes and retries of parts are free.
		Spend: func(_ time.Time, _ int32, p gatherer.Purpose) bool { return p != gatherer.Hedge || r.hedges.Spend() },
		HedgeAfter: func(int32) time.Duration {
			return max(MinRelayHedgeDelay, s.latency.HedgeDelay(s.now(), RelayHedgeQuantile))
		},
		Hold:    gatherer.HoldUntilCleared,
		Matches: matchesPart,
	})
	return r
}

func partName(i int) modeler.ShardName { return modeler.ShardName("part-" + strconv.Itoa(i)) }

// partition groups the shards of the snapshot by the bucket of their service. Shards without a configured service form
// a part of their own, whose bucket has the empty name.
func (s *Spreader) partition(req scatterer.Request) []part {
	partOf := map[string]int{}
	var parts []part
	for _, shard := range req.Snapshot.Shards {
		bucket := ""
		if shard.Service >= 0 {
			bucket = req.View.Services[shard.Service].Bucket
		}
		i, ok := partOf[bucket]
		if !ok {
			i = len(parts)
			partOf[bucket] = i
			parts = append(parts, part{s.owners(bucket), &planner.Snapshot{ID: req.Snapshot.ID}})
		}
		parts[i].snapshot.Shards = append(parts[i].snapshot.Shards, shard)
	}
	return parts
}

// matchesPart accepts an answer that belongs to the part and claims at most as many documents as the part has. It may
// claim fewer, because shards of the part may be missing from the answer.
func matchesPart(want, got gatherer.Claim) bool {
	fits := got.Documents <= want.Documents
	got.Documents = want.Documents
	return fits && want == got
}

// documentCount returns how many documents the shards of the snapshot have, except the excluded shards.
func documentCount(s *planner.Snapshot, excluded []modeler.ShardName) uint64 {
	var n uint64
	for _, shard := range s.Shards {
		if !slices.Contains(excluded, shard.Name) {
			n += shard.Documents
		}
	}
	return n
}

// pick chooses among the owners of a part that were not tried yet: this VM if it is a relay of the part, then one of
// the other relays in rotation, then the reserve in its order.
func (r *relayedQuery) pick(_ time.Time, partIndex int32, tried []int32) (int32, bool) {
	owners := r.parts[partIndex].owners
	var candidates []int32
	for i, m := range owners {
		if slices.Contains(tried, int32(i)) {
			continue
		}
		if m.Name == r.spreader.self && i < r.spreader.width {
			return int32(i), true
		}
		candidates = append(candidates, int32(i))
	}
	if len(candidates) == 0 {
		return 0, false
	}
	untriedRelays := max(1, min(len(candidates), r.spreader.width-len(tried)))
	return candidates[int(r.spreader.nextRelay.Add(1))%untriedRelays], true
}

// perform carries out an action that the state machine asks for; p is the result that caused it.
func (r *relayedQuery) perform(ctx context.Context, a gatherer.Action, p *partResult) {
	switch a.Kind {
	case gatherer.ActionSend:
		ctx, cancel := context.WithCancel(ctx)
		r.cancels = append(r.cancels, cancel)
		go r.runPart(ctx, cancel, a)
	case gatherer.ActionCancel:
		r.cancels[a.Attempt]()
	case gatherer.ActionMerge:
		r.merged[a.Shard] = &p.result
		r.notHeld = r.notHeld || p.result.NotHeld
		if p.result.Crashed {
			r.crashed = true
			r.cancelQuery()
		}
	case gatherer.ActionCheck:
		// A lost call to a relay does not make the query suspect: each relay checks the losses of its own searchers.
		r.results <- partResult{event: gatherer.Event{Kind: gatherer.EventVerdict, Verdict: gatherer.Innocent}}
	}
}

// runPart runs one part on a relay or on this VM, and reports the result.
func (r *relayedQuery) runPart(ctx context.Context, cancel context.CancelFunc, a gatherer.Action) {
	defer cancel()
	p := &r.parts[a.Shard]
	start := r.spreader.now()
	out := partResult{event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultLost}}
	if owner := p.owners[a.Searcher]; owner.Name == r.spreader.self {
		out.result = r.spreader.scatterer.Run(ctx, r.localRequest(p))
		out.event = r.answerEvent(a, string(r.req.ID))
		out.event.Claim.Documents = out.result.Documents
	} else if msg, err := r.callRelay(ctx, owner, p); err == nil {
		out = r.checkResult(a, p, msg)
	}
	if out.event.Kind == gatherer.EventAnswer {
		r.spreader.latency.Record(r.spreader.now().Sub(start))
	}
	r.results <- out
}

func (r *relayedQuery) localRequest(p *part) scatterer.Request {
	req := r.req
	req.Snapshot = p.snapshot
	return req
}

// callRelay calls an owner to run a part. The receiver does not read the Revision that is sent.
func (r *relayedQuery) callRelay(ctx context.Context, owner gossiper.Member, p *part) (*messenger.SearchResult, error) {
	names := make([]string, len(p.snapshot.Shards))
	for i, shard := range p.snapshot.Shards {
		names[i] = string(shard.Name)
	}
	return r.spreader.client.Peer(owner.Address).Search(ctx, &messenger.SearchRequest{
		RequestId: string(r.req.ID), Index: string(r.req.Index.Name), Snapshot: uint64(p.snapshot.ID), Shards: names,
		Query: r.req.Body, Limit: int32(r.req.Limit), Revision: uint64(r.req.View.Position.Revision),
		DeadlineMicros: r.req.Deadline.Add(-ReturnMargin).Sub(r.spreader.now()).Microseconds(),
	})
}

// checkResult checks a relay's result against the part: it must be of the part's snapshot, the answered and the missing
// shards must add up to the part's shards, and the documents searched must be those of the shards that are not missing.
// A relay's refusal counts as FaultNotSent, because a relay refuses before it sends anything to a searcher.
func (r *relayedQuery) checkResult(a gatherer.Action, p *part, msg *messenger.SearchResult) partResult {
	out := partResult{event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
	if msg.GetRefused() {
		out.event.Fault = gatherer.FaultNotSent
		return out
	}
	res := resultFromWire(msg)
	allShards := res.Answered+len(res.Missing) == len(p.snapshot.Shards)
	if !allShards || res.Documents != documentCount(p.snapshot, res.Missing) || res.Snapshot != p.snapshot.ID {
		return out
	}
	out.result = res
	out.event = r.answerEvent(a, msg.GetRequestId())
	out.event.Claim.Documents = res.Documents
	return out
}

func (r *relayedQuery) answerEvent(a gatherer.Action, id string) gatherer.Event {
	return gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: gatherer.Claim{
		Request: modeler.RequestID(id), Attempt: a.Attempt, Shard: partName(int(a.Shard)), Snapshot: r.req.Snapshot.ID,
	}}
}

// result merges the results of the parts. The shards of a part without an answer are missing, and each of them counts
// as one attempt.
func (r *relayedQuery) result() scatterer.Result {
	res := scatterer.Result{
		Snapshot: r.req.Snapshot.ID, Shards: len(r.req.Snapshot.Shards), TotalDocuments: documentCount(r.req.Snapshot, nil),
		Crashed: r.crashed, NotHeld: r.notHeld,
	}
	var hits []dialer.Hit
	for i, p := range r.parts {
		partial := r.merged[i]
		if partial == nil {
			for _, shard := range p.snapshot.Shards {
				res.Missing = append(res.Missing, shard.Name)
			}
			res.Sent += len(p.snapshot.Shards)
			continue
		}
		hits = append(hits, partial.Hits...)
		res.Answered += partial.Answered
		res.Documents += partial.Documents
		res.Missing = append(res.Missing, partial.Missing...)
		res.Sent += partial.Sent
		res.Primaries += partial.Primaries
		res.Shed += partial.Shed
		res.Lost += partial.Lost
	}
	res.Hits = dialer.MergeHits(nil, hits, r.req.Limit)
	return res
}
