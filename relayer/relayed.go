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

// part is the shards of one query that share their relays.
type part struct {
	owners   []gossiper.Member
	snapshot *planner.Snapshot
}

// partEnd is what the goroutine of one relayed call reports.
type partEnd struct {
	event  gatherer.Event
	result scatterer.Result
}

// relayed is one query that is run through relays; its state machine has parts in place of shards. It probes none before the first answer: a relay that ran a part again would reach other replicas.
type relayed struct {
	s       *Spreader
	req     scatterer.Request
	stop    context.CancelFunc
	parts   []part
	hedges  *limiter.Budget
	query   *gatherer.Query
	ends    chan partEnd
	cancels []context.CancelFunc
	taken   []*scatterer.Result
	crashed bool
	notHeld bool
}

func newRelayed(s *Spreader, req scatterer.Request, stop context.CancelFunc) *relayed {
	r := &relayed{s: s, req: req, stop: stop, parts: s.partition(req)}
	r.ends = make(chan partEnd, gatherer.MaxTries*len(r.parts))
	r.taken = make([]*scatterer.Result, len(r.parts))
	policy := req.Index.Policy
	r.hedges, _ = s.scatterer.Budgets.For(req.Index.Name, policy.HedgeShare, policy.RetryShare, len(req.Snapshot.Shards))
	plan := gatherer.Plan{
		Request: req.ID, Snapshot: req.Snapshot.ID, Deadline: req.Deadline, Patience: req.Deadline, LeastCoverage: 1,
		Shards: make([]gatherer.Shard, len(r.parts)),
	}
	for i, p := range r.parts {
		plan.Shards[i] = gatherer.Shard{Name: partName(i), Documents: documents(p.snapshot, nil)}
	}
	r.query = gatherer.NewQuery(plan, gatherer.Hooks{
		Pick:       r.pick,
		Spend:      func(_ time.Time, _ int32, p gatherer.Purpose) bool { return p != gatherer.Hedge || r.hedges.Spend() },
		HedgeAfter: func(int32) time.Duration { return max(MinRelayHedge, s.latency.HedgeDelay(s.now(), RelayQuantile)) },
		Hold:       gatherer.HoldUntilCleared,
		Matches:    matchesPart,
	})
	return r
}

func partName(i int) modeler.ShardName { return modeler.ShardName("part-" + strconv.Itoa(i)) }

// partition groups the shards of the snapshot by the bucket of their service.
func (s *Spreader) partition(req scatterer.Request) []part {
	at := map[string]int{}
	var parts []part
	for _, h := range req.Snapshot.Shards {
		bucket := ""
		if h.Service >= 0 {
			bucket = req.View.Services[h.Service].Bucket
		}
		i, ok := at[bucket]
		if !ok {
			i = len(parts)
			at[bucket] = i
			parts = append(parts, part{s.owners(bucket), &planner.Snapshot{ID: req.Snapshot.ID}})
		}
		parts[i].snapshot.Shards = append(parts[i].snapshot.Shards, h)
	}
	return parts
}

// matchesPart accepts the answer to a part that claims no more documents than the part has.
func matchesPart(want, got gatherer.Claim) bool {
	less := got.Documents <= want.Documents
	got.Documents = want.Documents
	return less && want == got
}

func documents(s *planner.Snapshot, without []modeler.ShardName) uint64 {
	var n uint64
	for _, h := range s.Shards {
		if !slices.Contains(without, h.Name) {
			n += h.Documents
		}
	}
	return n
}

// pick chooses this VM if it is a relay of the part, then a relay at random, then the reserve in its order.
func (r *relayed) pick(_ time.Time, shard int32, tried []int32) (int32, bool) {
	owners := r.parts[shard].owners
	var fit []int32
	for i, m := range owners {
		if slices.Contains(tried, int32(i)) {
			continue
		}
		if m.Name == r.s.self && i < r.s.width {
			return int32(i), true
		}
		fit = append(fit, int32(i))
	}
	if len(fit) == 0 {
		return 0, false
	}
	relays := max(1, min(len(fit), r.s.width-len(tried)))
	return fit[int(r.s.turn.Add(1))%relays], true
}

func (r *relayed) act(ctx context.Context, a gatherer.Action, e *partEnd) {
	switch a.Kind {
	case gatherer.ActionSend:
		ctx, cancel := context.WithCancel(ctx)
		r.cancels = append(r.cancels, cancel)
		go r.call(ctx, cancel, a)
	case gatherer.ActionCancel:
		r.cancels[a.Attempt]()
	case gatherer.ActionMerge:
		r.taken[a.Shard] = &e.result
		r.notHeld = r.notHeld || e.result.NotHeld
		if e.result.Crashed {
			r.crashed = true
			r.stop()
		}
	case gatherer.ActionCheck:
		r.ends <- partEnd{event: gatherer.Event{Kind: gatherer.EventVerdict, Verdict: gatherer.Innocent}}
	}
}

// call runs one part on a relay, or here, and reports its end.
func (r *relayed) call(ctx context.Context, cancel context.CancelFunc, a gatherer.Action) {
	defer cancel()
	p := &r.parts[a.Shard]
	start := r.s.now()
	e := partEnd{event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultLost}}
	if owner := p.owners[a.Searcher]; owner.Name == r.s.self {
		e.result = r.s.scatterer.Run(ctx, r.local(p))
		e.event = r.answered(a, string(r.req.ID))
		e.event.Claim.Documents = e.result.Documents
	} else if w, err := r.remote(ctx, owner, p); err == nil {
		e = r.read(a, p, w)
	}
	if e.event.Kind == gatherer.EventAnswer {
		r.s.latency.Record(r.s.now().Sub(start))
	}
	r.ends <- e
}

func (r *relayed) local(p *part) scatterer.Request {
	req := r.req
	req.Snapshot = p.snapshot
	return req
}

func (r *relayed) remote(ctx context.Context, owner gossiper.Member, p *part) (*messenger.SearchResult, error) {
	names := make([]string, len(p.snapshot.Shards))
	for i, h := range p.snapshot.Shards {
		names[i] = string(h.Name)
	}
	return r.s.client.Peer(owner.Address).Search(ctx, &messenger.SearchRequest{
		RequestId: string(r.req.ID), Index: string(r.req.Index.Name), Snapshot: uint64(p.snapshot.ID), Shards: names,
		Query: r.req.Body, Limit: int32(r.req.Limit), Revision: uint64(r.req.View.Revision),
		DeadlineMicros: r.req.Deadline.Add(-ReturnMargin).Sub(r.s.now()).Microseconds(),
	})
}

// read checks a relay's result against the partition map: what it leaves out must be of the part, and its coverage must be what the rest amounts to.
func (r *relayed) read(a gatherer.Action, p *part, w *messenger.SearchResult) partEnd {
	e := partEnd{event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
	if w.GetRefused() {
		e.event.Fault = gatherer.FaultNotSent
		return e
	}
	res := resultFromWire(w)
	whole := res.Answered+len(res.Missing) == len(p.snapshot.Shards)
	if !whole || res.Documents != documents(p.snapshot, res.Missing) || res.Snapshot != p.snapshot.ID {
		return e
	}
	e.result = res
	e.event = r.answered(a, w.GetRequestId())
	e.event.Claim.Documents = res.Documents
	return e
}

func (r *relayed) answered(a gatherer.Action, id string) gatherer.Event {
	return gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: gatherer.Claim{
		Request: modeler.RequestID(id), Attempt: a.Attempt, Shard: partName(int(a.Shard)), Snapshot: r.req.Snapshot.ID,
	}}
}

// result adds up the parts; the shards of a part without an answer are missing.
func (r *relayed) result() scatterer.Result {
	res := scatterer.Result{
		Snapshot: r.req.Snapshot.ID, Shards: len(r.req.Snapshot.Shards), Total: documents(r.req.Snapshot, nil),
		Crashed: r.crashed, NotHeld: r.notHeld,
	}
	var hits []dialer.Hit
	for i, p := range r.parts {
		t := r.taken[i]
		if t == nil {
			for _, h := range p.snapshot.Shards {
				res.Missing = append(res.Missing, h.Name)
			}
			res.Sent += len(p.snapshot.Shards)
			continue
		}
		hits = append(hits, t.Hits...)
		res.Answered += t.Answered
		res.Documents += t.Documents
		res.Missing = append(res.Missing, t.Missing...)
		res.Sent += t.Sent
		res.Primaries += t.Primaries
		res.Shed += t.Shed
		res.Lost += t.Lost
	}
	res.Hits = dialer.MergeHits(nil, hits, r.req.Limit)
	return res
}
