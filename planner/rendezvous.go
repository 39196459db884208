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
