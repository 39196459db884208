package scatterer

import (
	"context"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// check asks control searchers whether the losses are the request's own doing.
func (r *run) check(ctx context.Context) {
	lost := slices.Clone(r.query.LostSearchers())
	c := r.controls()
	go func() {
		diagnose := r.s.diagnose
		if r.req.Forward != nil {
			diagnose = r.s.diagnoseForward
		}
		d := diagnosis{lost: len(lost)}
		var err error
		func() {
			defer spawner.Recover("diagnosis", &err)
			d = diagnose(ctx, r.req.View, lost, c)
		}()
		r.logDiagnosis(d)
		select {
		case r.ends <- end{event: gatherer.Event{Kind: gatherer.EventVerdict, Verdict: d.verdict}}:
		case <-ctx.Done():
		}
	}()
}

// controls returns which searchers may be asked, none of which this run has reached.
func (r *run) controls() controls {
	reached := maps.Clone(r.reached)
	services := map[int32]bool{}
	for _, h := range r.req.Snapshot.Shards {
		services[h.Service] = true
	}
	isOwn := func(n int32) bool { return services[r.req.View.Searchers[n].Service] }
	return controls{
		own:   func(n int32) bool { return isOwn(n) && !reached[n] },
		other: func(n int32) bool { return !isOwn(n) },
	}
}

// diagnoseLate diagnoses a query that ended with losses and without any answer before enough of its attempts were lost.
func (r *run) diagnoseLate(ctx context.Context) {
	lost := r.query.LostSearchers()
	if r.req.Forward != nil {
		r.suspectForward(ctx, lost)
		return
	}
	if r.crashed || r.query.Answered() > 0 || len(lost) < gatherer.PoisonLosses {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), JudgeTimeout)
	defer cancel()
	d := r.s.diagnose(ctx, r.req.View, lost, r.controls())
	r.logDiagnosis(d)
	if d.verdict == gatherer.Poisonous {
		r.quarantine()
	}
}

// logDiagnosis says what the losses of a request were taken for, and what decided it.
func (r *run) logDiagnosis(d diagnosis) {
	klog.InfoS("search: losses judged", "id", string(r.req.ID), "fingerprint", uint64(r.fingerprint), "verdict", d.verdict.String(),
		"lost", d.lost, "in-live-domains", d.inLive, "in-dead-domains", d.inDead, "revision", uint64(r.req.View.Revision))
}

func (r *run) quarantine() {
	r.crashed = true
	now := r.s.now()
	until := now.Add(observer.QuarantinePeriod)
	if r.s.Quarantine.Add(r.fingerprint, now, until) {
		r.s.poisoned(r.fingerprint, until)
	}
	r.notes = append(r.notes, r.s.Recorder.Stamp(recorder.Event{Kind: recorder.RequestQuarantined, Request: r.req.ID}))
}
