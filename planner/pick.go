package planner

import (
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
	Usable   func(searcher int32) bool
}

// Pick returns a replica of the shard that was not tried: the cheaper of two random ones that are usable, else of those ejected, never one that drains.
func (p *Picker) Pick(now time.Time, shard int32, tried []int32) (int32, bool) {
	service := p.Snapshot.Shards[shard].Service
	if service < 0 {
		return 0, false
	}
	var buf [32]int32
	fit, ejected := buf[:0], 0
	all := p.View.Services[service].Searchers
	for _, r := range all {
		if p.open(now, r, tried) && !p.View.Searchers[r].Belief.Ejected(now) {
			fit = append(fit, r)
		}
	}
	ejected = len(all) - len(fit) - len(tried)
	if len(fit) == 0 || float64(ejected) > observer.MaxEjectedShare*float64(len(all)) {
		fit = fit[:0]
		for _, r := range all {
			if p.open(now, r, tried) {
				fit = append(fit, r)
			}
		}
	}
	return p.cheaper(now, fit, service)
}

func (p *Picker) open(now time.Time, r int32, tried []int32) bool {
	if slices.Contains(tried, r) || (p.Usable != nil && !p.Usable(r)) {
		return false
	}
	b := p.View.Searchers[r].Belief
	if b.Draining(now) {
		return false
	}
	holds, known := b.Held(p.Index, p.Snapshot.ID)
	return holds || !known
}

func (p *Picker) cheaper(now time.Time, fit []int32, service int32) (int32, bool) {
	switch len(fit) {
	case 0:
		return 0, false
	case 1:
		return fit[0], true
	}
	i := p.Random(len(fit))
	j := p.Random(len(fit) - 1)
	if j >= i {
		j++
	}
	slots := p.View.Services[service].Contract.Slots
	a, b := &p.View.Searchers[fit[i]], &p.View.Searchers[fit[j]]
	if a.Belief.Cost(now, slots, a.Link) <= b.Belief.Cost(now, slots, b.Link) {
		return fit[i], true
	}
	return fit[j], true
}
