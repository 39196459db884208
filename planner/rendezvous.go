package planner

import (
	"slices"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// RankOf returns how many of the VMs come before one by their rendezvous hash for the key.
func RankOf(key string, self modeler.VMName, vms []modeler.VMName) int {
	mine := score(key, self)
	n := 0
	for _, v := range vms {
		if v != self && compareScored(score(key, v), mine) < 0 {
			n++
		}
	}
	return n
}

// Rank orders the VMs by their rendezvous hash for the key, lowest first, and returns the first n.
func Rank(key string, vms []modeler.VMName, n int) []modeler.VMName {
	all := make([]scored, len(vms))
	for i, v := range vms {
		all[i] = score(key, v)
	}
	slices.SortFunc(all, compareScored)
	out := make([]modeler.VMName, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.name)
	}
	return out
}

// ChoiceOf returns which of a service's fitting searchers a VM chooses by rendezvous hash, or -1: the VMs spread over them, and few choose anew when one comes or goes.
func (v *View) ChoiceOf(vm modeler.VMName, service int32, fits func(*Searcher) bool) int32 {
	best, least := int32(-1), scored{}
	for _, n := range v.Services[service].Searchers {
		if !fits(&v.Searchers[n]) {
			continue
		}
		if x := score(string(v.Searchers[n].Name), vm); best < 0 || x.score < least.score {
			best, least = n, x
		}
	}
	return best
}
