package scatterer

import (
	"context"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// result returns the outcome of the finished query. It tells the quarantine that the request was answered, or that a
// search lost one connection and was not answered, and passes the events of the run to the recorder.
func (r *run) result() Result {
	now := r.s.now()
	res := Result{
		Snapshot:     r.req.Snapshot.ID,
		Hits:         dialer.MergeHits(nil, r.hits, min(r.req.Limit, MaxHits)),
		Shards:       len(r.req.Snapshot.Shards),
		Answered:     r.query.AnsweredShards(),
		Shed:         int(r.shedAttempts.Load()),
		Lost:         len(r.query.LostSearchers()),
		Crashed:      r.quarantined,
		NotHeld:      r.snapshotNotHeld,
		ShardReplies: r.shardReplies,
		Rejection:    r.rejection,

		Faults:       r.faultCounts,
		MayHaveRun:   r.query.MayHaveRun(),
		SearcherWait: r.searcherWait(now),
	}
	res.Documents, res.TotalDocuments = r.query.Documents()
	res.Sent, res.Primaries = r.query.AttemptCounts()
	if res.Answered < res.Shards {
		res.Missing = r.query.MissingShards()
	}
	if res.Answered > 0 && r.s.Quarantine.RecordGood(r.fingerprint, r.req.Snapshot.ID, now) {
		r.s.onGood(r.fingerprint, now)
	}
	// An unanswered search with a single loss becomes suspect; if that happens again, and not at the same moment, it is
	// quarantined. For a request on a route see diagnoseLateForward.
	if r.req.Forward == nil && res.Answered == 0 && res.Lost == 1 && r.s.Quarantine.RecordCrashes(r.fingerprint, now, r.losses...) {
		r.quarantine()
		res.Crashed = true
	}
	for i, shard := range r.plan.Shards {
		if shard.LeftOut && !r.answeredShards[i] {
			res.LeftOut = append(res.LeftOut, r.shardName(int32(i)))
		}
	}
	// Complete queries without extra attempts are recorded only if they are sampled.
	if r.isSampled || res.Answered < res.Shards || res.Sent > res.Primaries {
		r.s.Recorder.Append(r.events)
	}
	return res
}

func (r *run) recordAttempt(kind recorder.EventKind, a gatherer.Action) {
	e := recorder.Event{Kind: kind, Request: r.req.ID, Attempt: a.Attempt}
	// Query also drops answers to attempts that it never sent; of those only the number would be recorded. This run
	// reports only answers to attempts that it has sent. An ActionDrop never sets the purpose, and it sets shard and
	// searcher only if the answer did not match its attempt. Fields that are not set are zero, so the event then names
	// Primary, the first shard and the first searcher.
	if kind != recorder.AnswerDropped || int(a.Attempt) < len(r.cancels) {
		e.Purpose = a.Purpose.String()
		e.Shard = r.shardName(a.Shard)
		e.Searcher = r.req.View.Searchers[a.Searcher].Name
	}
	r.events = append(r.events, r.s.Recorder.Stamp(e))
}

func (r *run) shardName(i int32) modeler.ShardName { return r.req.Snapshot.Shards[i].Name }

func (r *run) recordFault(res *attemptResult) {
	r.events = append(r.events, r.s.Recorder.Stamp(recorder.Event{
		Kind: recorder.AttemptFailed, Request: r.req.ID, Attempt: res.event.Attempt, Fault: res.event.Fault.String(), Detail: res.reply.Use.String(),
	}))
}

// logFault logs a failed attempt with its searcher and the reason. It logs nothing for a search.
func (r *run) logFault(res *attemptResult) {
	if r.req.Forward == nil || errors.Is(res.reply.Err, context.Canceled) {
		return
	}
	searcher := &r.req.View.Searchers[r.attemptSearchers[res.event.Attempt]]
	klog.InfoS("attempt: failed", "id", string(r.req.ID), "searcher", string(searcher.Name), "address", searcher.Address.String(),
		"fault", res.event.Fault.String(), "status", res.reply.Status, "use", res.reply.Use.String(), "error", res.reply.Err)
}

// logExtra logs an attempt beyond the first of its shard, with its purpose and the delays that decided it. It logs
// nothing for a search.
func (r *run) logExtra(a gatherer.Action) {
	if r.req.Forward == nil || a.Purpose == gatherer.Primary {
		return
	}
	searcher := &r.req.View.Searchers[a.Searcher]
	klog.InfoS("attempt: extra", "id", string(r.req.ID), "shard", string(r.shardName(a.Shard)), "purpose", a.Purpose.String(), "searcher", string(searcher.Name),
		"after-ms", r.s.now().Sub(r.startedAt).Milliseconds(), "hedge-delay-ms", r.hedgeAfter(a.Shard).Milliseconds(), "revision", uint64(r.req.View.Position.Revision))
}

func (r *run) recordPlan(plan gatherer.Plan) {
	now := r.s.now()
	note := &recorder.PlanNote{
		Index:         r.req.Index.Name,
		Snapshot:      plan.Snapshot,
		Deadline:      modeler.Duration{Duration: plan.Deadline.Sub(now)},
		Patience:      modeler.Duration{Duration: plan.Patience.Sub(now)},
		LeastCoverage: plan.LeastCoverage,
		KnownGood:     plan.KnownGood,
		Shards:        make([]recorder.ShardNote, len(plan.Shards)),
	}
	for i, s := range plan.Shards {
		note.Shards[i] = recorder.ShardNote{Name: s.Name, Documents: s.Documents, Hedge: modeler.Duration{Duration: r.hedgeAfter(int32(i))}}
	}
	r.events = append(r.events, r.s.Recorder.Stamp(recorder.Event{Kind: recorder.QueryPinned, Request: r.req.ID, Plan: note}))
}
