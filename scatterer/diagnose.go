package scatterer

import (
	"context"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// diagnosis is a verdict with the losses that decided it, by what the control searchers of their failure domains are.
type diagnosis struct {
	verdict gatherer.Verdict
	lost    int
	inLive  int
	inDead  int
}

// diagnose says whether the losses of a request are its own doing. It is poisonous if at least PoisonLosses of them happened in failure domains in which control searchers are alive, now and RecheckAfter later, for a failure domain does not die all at once. It is innocent if the control searchers are dead, and undecided if they do not answer in time.
func (s *Scatterer) diagnose(ctx context.Context, v *planner.View, lost []int32, c controls) diagnosis {
	first := s.diagnoseOnce(ctx, v, lost, c)
	if first.verdict != gatherer.Poisonous {
		return first
	}
	spawner.Sleep(ctx, RecheckAfter)
	if ctx.Err() != nil {
		first.verdict = gatherer.Undecided
		return first
	}
	return s.diagnoseOnce(ctx, v, lost, c)
}

func (s *Scatterer) diagnoseOnce(ctx context.Context, v *planner.View, lost []int32, c controls) diagnosis {
	losses := map[int32]int{}
	for _, r := range lost {
		losses[v.Searchers[r].Domain]++
	}
	d := diagnosis{lost: len(lost)}
	for domain, n := range losses {
		switch s.domain(ctx, v, domain, c) {
		case dialer.Alive:
			d.inLive += n
		case dialer.Dead:
			d.inDead += n
		}
	}
	switch {
	case d.inLive >= gatherer.PoisonLosses:
		d.verdict = gatherer.Poisonous
	case d.inDead > 0:
		d.verdict = gatherer.Innocent
	}
	return d
}

// controls are the searchers whose state tells whether a failure domain is alive.
type controls struct {
	own   func(searcher int32) bool // of the services that were asked, and never reached by the request
	other func(searcher int32) bool // of other services, which another part of the same request may have crashed
}

// domain returns what the control searchers of a failure domain are. Where the request has reached all of its services' searchers there, others are asked, and only that they are alive says something.
func (s *Scatterer) domain(ctx context.Context, v *planner.View, domain int32, c controls) dialer.Liveness {
	own, asked := s.majority(ctx, v, domain, ControlsAsked, c.own)
	if asked > 0 {
		return own
	}
	if other, _ := s.majority(ctx, v, domain, OthersAsked, c.other); other == dialer.Alive {
		return dialer.Alive
	}
	return dialer.Unclear
}

// majority asks some searchers of a failure domain, and returns what most of them are and how many were asked.
func (s *Scatterer) majority(ctx context.Context, v *planner.View, domain int32, most int, fit func(int32) bool) (dialer.Liveness, int) {
	count := map[dialer.Liveness]int{}
	asked := 0
	offset := s.random(len(v.Searchers))
	for i := range v.Searchers {
		n := int32((i + offset) % len(v.Searchers))
		if asked == most || v.Searchers[n].Domain != domain || !fit(n) {
			continue
		}
		asked++
		count[s.Dialer.Check(ctx, v.Searchers[n].Address, CheckTimeout)]++
	}
	for _, l := range []dialer.Liveness{dialer.Alive, dialer.Dead} {
		if 2*count[l] > asked {
			return l, asked
		}
	}
	return dialer.Unclear, asked
}

// crashes returns how many of the lost searchers refuse connections now; a searcher whose answer was lost on the way does not.
func (s *Scatterer) crashes(ctx context.Context, v *planner.View, lost []int32) int {
	n := 0
	for _, r := range lost {
		if s.Dialer.Check(ctx, v.Searchers[r].Address, CheckTimeout) == dialer.Dead {
			n++
		}
	}
	return n
}

// diagnoseForward judges the losses of a request on a route, where answers are also lost without a crash.
func (s *Scatterer) diagnoseForward(ctx context.Context, v *planner.View, lost []int32, c controls) diagnosis {
	if s.crashes(ctx, v, lost) < gatherer.PoisonLosses {
		return diagnosis{verdict: gatherer.Innocent, lost: len(lost)}
	}
	return s.diagnose(ctx, v, lost, c)
}
