package scatterer

import (
	"context"
	"net/netip"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/observer"
)

// mayCrash reports whether an attempt on a route belongs to a request that has lost searchers, in this run or before, and is
// not known to be good. Such an attempt opens a connection, which shows that its searcher did not crash with those before.
func (r *run) mayCrash() bool {
	if (!r.isSuspect && len(r.losses) == 0) || r.query.AnsweredShards() > 0 {
		return false
	}
	return !r.s.Quarantine.AnsweredLately(r.fingerprint, r.s.now())
}

// lossOf returns the loss of an attempt's searcher, which may have crashed.
func (r *run) lossOf(res *attemptResult) observer.Crash {
	searcher := &r.req.View.Searchers[r.attemptSearchers[res.event.Attempt]]
	return observer.Crash{Searcher: searcher.Address, AliveAt: res.reply.AliveAt, At: r.s.now()}
}

// crashed returns the losses of searchers that refuse connections now. A searcher that lost only an answer still accepts
// them.
func (s *Scatterer) crashed(ctx context.Context, losses []observer.Crash) []observer.Crash {
	var out []observer.Crash
	dead := map[netip.AddrPort]bool{}
	for _, c := range losses {
		isDead, checked := dead[c.Searcher]
		if !checked {
			isDead = s.Dialer.Check(ctx, c.Searcher, CheckTimeout) == dialer.Dead
			dead[c.Searcher] = isDead
		}
		if isDead {
			out = append(out, c)
		}
	}
	return out
}

// diagnoseForward is diagnose for a request on a route. On routes, answers are also lost without a crash, so the request is
// innocent unless at least PoisonLosses of its searchers refuse connections; then diagnose decides.
func (r *run) diagnoseForward(ctx context.Context, lost []int32, losses []observer.Crash, c controls) diagnosis {
	crashes := r.s.crashed(ctx, losses)
	if len(crashes) < gatherer.PoisonLosses {
		return diagnosis{verdict: gatherer.Innocent, lost: len(lost)}
	}
	return r.confirm(r.s.diagnose(ctx, r.req.View, lost, c), crashes)
}

// confirm changes the verdict Poisonous to Undecided if the crashes that are known of the request do not suffice, because
// one crash of several searchers may explain them. A search that was not answered lately needs no more than the verdict: its
// losses were compared with control searchers.
func (r *run) confirm(d diagnosis, crashes []observer.Crash) diagnosis {
	now := r.s.now()
	if d.verdict != gatherer.Poisonous || (r.req.Forward == nil && !r.s.Quarantine.AnsweredLately(r.fingerprint, now)) {
		return d
	}
	if !r.s.Quarantine.RecordCrashes(r.fingerprint, now, crashes...) {
		d.verdict = gatherer.Undecided
	}
	return d
}

// diagnoseLateForward records the crashes of searchers that an unanswered request on a route has lost. It quarantines the
// request if all that are known suffice and the request's services do not fail without it.
func (r *run) diagnoseLateForward(ctx context.Context) {
	if r.quarantined || r.query.AnsweredShards() > 0 || len(r.losses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CheckTimeout)
	defer cancel()
	crashes := r.s.crashed(ctx, r.losses)
	if len(crashes) == 0 {
		return
	}
	suffices := r.s.Quarantine.RecordCrashes(r.fingerprint, r.s.now(), crashes...)
	serviceFails := suffices && r.serviceFails(ctx)
	klog.InfoS("request: lost with searchers that crashed", "id", string(r.req.ID), "fingerprint", uint64(r.fingerprint),
		"lost", len(r.losses), "crashed", len(crashes), "suffices", suffices, "service-fails", serviceFails)
	if suffices && !serviceFails {
		r.quarantine()
		return
	}
	for _, c := range crashes[:min(len(crashes), MaxAnnouncedCrashes)] {
		r.s.onSuspect(r.fingerprint, c)
	}
}

// serviceFails reports whether most searchers of the request's services that did not crash while they ran it are dead too.
func (r *run) serviceFails(ctx context.Context) bool {
	isOwn := r.ownServices()
	isControl := func(searcher int32) bool {
		return isOwn(searcher) && !r.s.Quarantine.HasCrashed(r.fingerprint, r.req.View.Searchers[searcher].Address)
	}
	liveness, _ := r.s.majorityLiveness(ctx, r.req.View, MaxOwnControls, isControl)
	return liveness == dialer.Dead
}

// ownServices returns a function that reports whether a searcher belongs to a service of the request.
func (r *run) ownServices() func(searcher int32) bool {
	services := map[int32]bool{}
	for _, shard := range r.req.Snapshot.Shards {
		services[shard.Service] = true
	}
	return func(searcher int32) bool { return services[r.req.View.Searchers[searcher].Service] }
}
