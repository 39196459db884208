package planner

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Picker chooses replicas for the shards of one snapshot.
type Picker struct {
	View     *View
	Index    modeler.IndexName
	Snapshot *Snapshot
	Random   func(n int) int
	Stall    time.Duration
	SetUp    func(searcher int32) SetUp
	Spread   *Spread // nil if the first attempts may all lie in one failure domain
}

// Pick returns a replica of the shard that was not tried: the cheapest that is usable, else of those ejected, never one that drains.
func (p *Picker) Pick(now time.Time, shard int32, tried []int32) (int32, bool) {
	if p.Spread == nil || len(tried) > 0 {
		return p.choose(now, shard, tried, nowhere)
	}
	r, ok := int32(0), false
	if domain, avoid := p.Spread.avoids(); avoid {
		r, ok = p.choose(now, shard, tried, domain)
	}
	if !ok {
		r, ok = p.choose(now, shard, tried, nowhere)
	}
	if ok {
		p.Spread.add(p.View.Searchers[r].Domain)
	}
	return r, ok
}

// nowhere is no failure domain.
const nowhere = -1

// choose picks a replica outside a failure domain.
func (p *Picker) choose(now time.Time, shard int32, tried []int32, avoid int32) (int32, bool) {
	service := p.Snapshot.Shards[shard].Service
	if service < 0 {
		return 0, false
	}
	var buf [32]int32
	fit, ejected := buf[:0], 0
	all := p.View.Services[service].Searchers
	for _, r := range all {
		if p.open(now, r, tried, avoid) && !p.View.Searchers[r].Health.Ejected(now) {
			fit = append(fit, r)
		}
	}
	ejected = len(all) - len(fit) - len(tried)
	if better := p.responsive(now, fit); len(better) > 0 {
		return p.cheaper(now, better, service)
	}
	if len(fit) == 0 || float64(ejected) > observer.MaxEjectedShare*float64(len(all)) {
		fit = fit[:0]
		for _, r := range all {
			if p.open(now, r, tried, avoid) {
				fit = append(fit, r)
			}
		}
	}
	return p.cheaper(now, fit, service)
}

func (p *Picker) open(now time.Time, r int32, tried []int32, avoid int32) bool {
	if slices.Contains(tried, r) || p.View.Searchers[r].Domain == avoid {
		return false
	}
	b := p.View.Searchers[r].Health
	if until := p.View.Searchers[r].Until; !until.IsZero() && !now.Before(until) {
		return false
	}
	if b.Draining(now) {
		return false
	}
	holds, known := b.Held(p.Index, p.Snapshot.ID)
	return holds || !known
}

// responsive keeps the searchers that neither leave nor have left attempts unanswered for longer than the stall limit.
func (p *Picker) responsive(now time.Time, fit []int32) []int32 {
	if p.Stall == 0 {
		return nil
	}
	out := make([]int32, 0, len(fit))
	for _, r := range fit {
		s := &p.View.Searchers[r]
		if s.Until.IsZero() && !s.Health.Stalled(now, p.Stall) {
			out = append(out, r)
		}
	}
	return out
}

// cheaper returns the cheapest of the searchers; costs are spread a little, so that equal ones share the load. Without a stall limit only two random ones are compared, so that the shards of a query spread over failure domains.
func (p *Picker) cheaper(now time.Time, fit []int32, service int32) (int32, bool) {
	if len(fit) == 0 {
		return 0, false
	}
	most := MaxCompared
	if p.Stall == 0 {
		most = 2
	}
	if len(fit) > most {
		p.shuffle(fit)
		fit = fit[:most]
	}
	slots := p.View.Services[service].Contract.Slots
	best, least := fit[0], math.Inf(1)
	for _, r := range fit {
		s := &p.View.Searchers[r]
		spread := 1 - CostSpread/2 + CostSpread*float64(p.Random(spreadSteps))/spreadSteps
		if cost := s.Health.Cost(now, slots, p.link(r)) * spread; cost < least {
			best, least = r, cost
		}
	}
	return best, true
}

// SetUp says what has to be done before a request can be sent to a searcher.
type SetUp uint8

// Nothing, where a connection is open and free; else one is opened, which a searcher at its limit is likely to reset.
const (
	NoSetUp SetUp = iota
	Connect
	ConnectAtLimit
)

// link returns the delay to a searcher and back, twice if a connection has to be opened first.
func (p *Picker) link(r int32) time.Duration {
	link := p.View.Searchers[r].Link
	if p.SetUp == nil {
		return link
	}
	switch p.SetUp(r) {
	case Connect:
		return 2*link + ConnectCost
	case ConnectAtLimit:
		return 2*link + ConnectCost + AtLimitCost
	}
	return link
}

// shuffle puts the searchers in random order.
func (p *Picker) shuffle(list []int32) {
	for i := len(list) - 1; i > 0; i-- {
		j := p.Random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// Bounds of the comparison of searchers.
const (
	MaxCompared = 16
	CostSpread  = 0.2
	spreadSteps = 1000
	ConnectCost = 6 * time.Millisecond
	AtLimitCost = 100 * time.Millisecond // of a connection that is likely to be reset
)
