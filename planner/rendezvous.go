package planner

import (
	"slices"

	"github.com/pistachiogap/pistachiogap/modeler"
)

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
