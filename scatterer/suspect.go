package scatterer

import (
	"context"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// startDiagnosis starts a goroutine that decides whether the request caused its losses, by checking whether control
// searchers are alive (see diagnose). Its verdict arrives in the result channel.
func (r *run) startDiagnosis(ctx context.Context) {
	lost, losses := slices.Clone(r.query.LostSearchers()), slices.Clone(r.losses)
	c := r.newControls()
	go func() {
		d := diagnosis{lost: len(lost)}
		var err error
		func() {
			defer spawner.Recover("diagnosis", &err)
			if r.req.Forward != nil {
				d = r.diagnoseForward(ctx, lost, losses, c)
				return
			}
			d = r.confirm(r.s.diagnose(ctx, r.req.View, lost, c), losses)
		}()
		r.logDiagnosis(d)
		select {
		case r.results <- attemptResult{event: gatherer.Event{Kind: gatherer.EventVerdict, Verdict: d.verdict}}:
		case <-ctx.Done():
		}
	}()
}

// newControls returns the control searchers of this run. Searchers that were sent an attempt are excluded, because the
// request may have crashed them.
func (r *run) newControls() controls {
	reached := maps.Clone(r.reachedSearchers)
	isOwn := r.ownServices()
	return controls{
		own:   func(searcher int32) bool { return isOwn(searcher) && !reached[searcher] },
		other: func(searcher int32) bool { return !isOwn(searcher) },
	}
}

// diagnoseLate diagnoses a search that ended without an answer and with at least PoisonLosses losses, unless it is
// quarantined already. The share of lost attempts may not have been high enough for an ActionCheck before the end. A
// request on a route is left to diagnoseLateForward.
func (r *run) diagnoseLate(ctx context.Context) {
	if r.req.Forward != nil {
		r.diagnoseLateForward(ctx)
		return
	}
	lost := r.query.LostSearchers()
	if r.quarantined || r.query.AnsweredShards() > 0 || len(lost) < gatherer.PoisonLosses {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DiagnosisTimeout)
	defer cancel()
	d := r.confirm(r.s.diagnose(ctx, r.req.View, lost, r.newControls()), r.losses)
	r.logDiagnosis(d)
	if d.verdict == gatherer.Poisonous {
		r.quarantine()
	}
}

// logDiagnosis logs the verdict on the losses of a request and the counts that decided it.
func (r *run) logDiagnosis(d diagnosis) {
	klog.InfoS("search: losses judged", "id", string(r.req.ID), "fingerprint", uint64(r.fingerprint), "verdict", d.verdict.String(),
		"lost", d.lost, "in-live-domains", d.inLiveDomains, "in-dead-domains", d.inDeadDomains, "revision", uint64(r.req.View.Position.Revision))
}

// quarantine quarantines the request and calls onQuarantine if it was not quarantined before.
func (r *run) quarantine() {
	r.quarantined = true
	if until, isNew := r.s.Quarantine.Find(r.fingerprint, r.s.now()); isNew {
		r.s.onQuarantine(r.fingerprint, until)
	}
	r.events = append(r.events, r.s.Recorder.Stamp(recorder.Event{Kind: recorder.RequestQuarantined, Request: r.req.ID}))
}
