package scatterer

import (
	"context"
	"strconv"
	"strings"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// attemptResult is what the goroutine of an attempt reports to its run. A diagnosis reports its verdict in one, too.
type attemptResult struct {
	event    gatherer.Event
	reply    dialer.Reply
	shard    int32 // of an answer on a route
	hits     []dialer.Hit
	mismatch bool // the answer's claim differs from what the attempt asked for
}

// send starts an attempt. A search sets the deadline of its call half a round trip before that of the request, and its
// linger to the set-up time of the service's contract. forwardCall replaces both for a request on a route.
func (r *run) send(ctx context.Context, a gatherer.Action) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	r.attemptSearchers = append(r.attemptSearchers, a.Searcher)
	r.reachedSearchers[a.Searcher] = true
	health := r.req.View.Searchers[a.Searcher].Health
	health.Take(r.s.now())
	r.recordAttempt(recorder.AttemptSent, a)
	r.logExtra(a)
	call := dialer.Call{
		Address:       r.req.View.Searchers[a.Searcher].Address,
		Path:          "/v1/search",
		Request:       r.req.ID,
		Attempt:       r.attemptPrefix + strconv.Itoa(int(a.Attempt)),
		Index:         r.req.Index.Name,
		Shard:         r.req.Snapshot.Shards[a.Shard].Name,
		Snapshot:      r.req.Snapshot.ID,
		Deadline:      r.req.Deadline.Add(-r.req.View.Searchers[a.Searcher].RoundTrip / 2),
		Body:          r.req.Body,
		ProvenOnly:    a.Purpose != gatherer.Primary,
		NewConnection: a.Purpose == gatherer.Probe,
		Allowed:       func() bool { return health.MaySend(r.s.now()) },
		Linger:        r.req.View.Services[r.req.View.Searchers[a.Searcher].Service].Contract.SetUp.Duration,
	}
	if r.req.Forward != nil {
		r.forwardCall(&call, a)
	}
	go r.runAttempt(ctx, cancel, a, call)
}

// runAttempt sends one attempt and reports its result on the run's channel.
func (r *run) runAttempt(ctx context.Context, cancel context.CancelFunc, a gatherer.Action, call dialer.Call) {
	defer cancel()
	searcher := &r.req.View.Searchers[a.Searcher]
	start := r.s.now()
	searcher.Health.Begin(start)
	res := r.exchange(ctx, a, call)
	r.updateHealth(ctx, a, &res, r.s.now().Sub(start))
	r.updateLimit(searcher, &res, start)
	if res.event.Fault == gatherer.FaultShed {
		r.shedAttempts.Add(1)
	}
	select {
	case r.results <- res:
	case <-ctx.Done():
	}
}

// exchange sends one call and reads its answer. A panic while doing so counts as an answer that cannot be read.
func (r *run) exchange(ctx context.Context, a gatherer.Action, call dialer.Call) (res attemptResult) {
	var err error
	defer func() {
		if err != nil {
			res = attemptResult{reply: dialer.Reply{Err: err}, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
		}
	}()
	defer spawner.Recover("attempt", &err)
	reply := r.s.Dialer.Do(ctx, call)
	if reply.Fault == gatherer.FaultNone {
		return r.decode(a, reply)
	}
	return attemptResult{reply: reply, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: reply.Fault}}
}

// decode turns an answer into a result with its hits and its claim.
func (r *run) decode(a gatherer.Action, reply dialer.Reply) attemptResult {
	if r.req.Forward != nil {
		return r.forwardResult(a, reply)
	}
	answer, err := parser.DecodeStrict[dialer.SearchAnswer](reply.Body)
	if err != nil {
		return attemptResult{reply: reply, event: gatherer.Event{Kind: gatherer.EventFault, Attempt: a.Attempt, Fault: gatherer.FaultCorrupt}}
	}
	claim := gatherer.Claim{
		Request:   answer.Request,
		Attempt:   attemptOf(r.attemptPrefix, answer.Attempt),
		Shard:     answer.Shard,
		Snapshot:  answer.Snapshot,
		Documents: answer.Documents,
	}
	shard := r.req.Snapshot.Shards[a.Shard]
	mismatch := !gatherer.MatchesExactly(gatherer.Claim{
		Request: r.req.ID, Attempt: a.Attempt, Shard: shard.Name, Snapshot: r.req.Snapshot.ID, Documents: shard.Documents,
	}, claim)
	return attemptResult{reply: reply, hits: answer.Hits, mismatch: mismatch, event: gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: claim}}
}

// attemptOf returns the number of the attempt with the id, or -1 if the id does not belong to this run. The prefix
// contains a random number because callers may use a request id again.
func attemptOf(prefix, id string) int32 {
	number, ok := strings.CutPrefix(id, prefix)
	n, err := strconv.ParseInt(number, 10, 32)
	if !ok || err != nil {
		return -1
	}
	return int32(n)
}
