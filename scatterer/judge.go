package scatterer

import (
	"context"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Judge says whether the losses of a request are its own doing. It is poisonous if at least PoisonLosses of them happened in failure domains in which bystanders are alive, now and RecheckAfter later, for a failure domain does not die all at once. It is innocent if the bystanders are dead, and undecided if they do not answer in time.
func (s *Scatterer) Judge(ctx context.Context, v *planner.View, lost []int32, bystander func(int32) bool) gatherer.Verdict {
	if first := s.judgeOnce(ctx, v, lost, bystander); first != gatherer.Poisonous {
		return first
	}
	spawner.Sleep(ctx, RecheckAfter)
	if ctx.Err() != nil {
		return gatherer.Undecided
	}
	return s.judgeOnce(ctx, v, lost, bystander)
}

func (s *Scatterer) judgeOnce(ctx context.Context, v *planner.View, lost []int32, bystander func(int32) bool) gatherer.Verdict {
	losses := map[int32]int{}
	for _, r := range lost {
		losses[v.Searchers[r].Domain]++
	}
	inLive, inDead := 0, 0
	for domain, n := range losses {
		switch s.domain(ctx, v, domain, bystander) {
		case dialer.Alive:
			inLive += n
		case dialer.Dead:
			inDead += n
		}
	}
	switch {
	case inLive >= gatherer.PoisonLosses:
		return gatherer.Poisonous
	case inDead > 0:
		return gatherer.Innocent
	}
	return gatherer.Undecided
}

// domain asks a few bystanders of a failure domain, and returns what most of them are.
func (s *Scatterer) domain(ctx context.Context, v *planner.View, domain int32, bystander func(int32) bool) dialer.Liveness {
	count := map[dialer.Liveness]int{}
	asked := 0
	offset := s.random(len(v.Searchers))
	for i := range v.Searchers {
		n := int32((i + offset) % len(v.Searchers))
		if asked == Bystanders || v.Searchers[n].Domain != domain || !bystander(n) {
			continue
		}
		asked++
		count[s.Dialer.Check(ctx, v.Searchers[n].Address, CheckTimeout)]++
	}
	for _, l := range []dialer.Liveness{dialer.Alive, dialer.Dead} {
		if 2*count[l] > asked {
			return l
		}
	}
	return dialer.Unclear
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

// judgeForward judges the losses of a request on a route, where answers are also lost without a crash.
func (s *Scatterer) judgeForward(ctx context.Context, v *planner.View, lost []int32, bystander func(int32) bool) gatherer.Verdict {
	if s.crashes(ctx, v, lost) < gatherer.PoisonLosses {
		return gatherer.Innocent
	}
	return s.Judge(ctx, v, lost, bystander)
}
