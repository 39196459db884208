package scatterer

import (
	"context"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// diagnosis is a verdict on the losses of a request, with the counts that decided it.
type diagnosis struct {
	verdict       gatherer.Verdict
	lost          int
	inLiveDomains int // losses in failure domains that are alive
	inDeadDomains int // losses in failure domains that are dead
}

// diagnose decides whether a request caused its losses. It checks control searchers: searchers in the same failure
// domains to which this run has sent no attempt (see controls). The request is poisonous if at least PoisonLosses of its
// losses happened in failure domains whose control searchers are alive, now and RecheckAfter later. The second check is
// needed because the searchers of a failing domain do not all die at once. Otherwise the request is innocent if, in one
// of the domains, most control searchers of its own services are dead. In all other cases it is undecided; dead control
// searchers of other services decide nothing (see domainLiveness).
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
	losses := map[int32]int{} // by failure domain
	for _, searcher := range lost {
		losses[v.Searchers[searcher].Domain]++
	}
	d := diagnosis{lost: len(lost)}
	for domain, n := range losses {
		switch s.domainLiveness(ctx, v, domain, c) {
		case dialer.Alive:
			d.inLiveDomains += n
		case dialer.Dead:
			d.inDeadDomains += n
		}
	}
	switch {
	case d.inLiveDomains >= gatherer.PoisonLosses:
		d.verdict = gatherer.Poisonous
	case d.inDeadDomains > 0:
		d.verdict = gatherer.Innocent
	}
	return d
}

// controls selects the control searchers, whose liveness shows whether their failure domain is alive.
type controls struct {
	own   func(searcher int32) bool // searchers of the query's services that it sent no attempt
	other func(searcher int32) bool // searchers of other services; the parts of the request on other VMs may have crashed them
}

// domainLiveness returns the liveness of a failure domain by its control searchers. If the request has reached all
// searchers of its own services there, searchers of other services are asked. If these are dead, the result is
// Unclear, because the parts of the request on other VMs may have crashed them.
func (s *Scatterer) domainLiveness(ctx context.Context, v *planner.View, domain int32, c controls) dialer.Liveness {
	within := func(eligible func(int32) bool) func(int32) bool {
		return func(searcher int32) bool { return v.Searchers[searcher].Domain == domain && eligible(searcher) }
	}
	own, asked := s.majorityLiveness(ctx, v, MaxOwnControls, within(c.own))
	if asked > 0 {
		return own
	}
	if other, _ := s.majorityLiveness(ctx, v, MaxOtherControls, within(c.other)); other == dialer.Alive {
		return dialer.Alive
	}
	return dialer.Unclear
}

// majorityLiveness checks at most limit eligible searchers, from a random one on. It returns the liveness that more than
// half of them have, or Unclear, and how many were checked.
func (s *Scatterer) majorityLiveness(ctx context.Context, v *planner.View, limit int, eligible func(int32) bool) (dialer.Liveness, int) {
	count := map[dialer.Liveness]int{}
	asked := 0
	offset := s.random(len(v.Searchers))
	for i := range v.Searchers {
		n := int32((i + offset) % len(v.Searchers))
		if asked == limit || !eligible(n) {
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
