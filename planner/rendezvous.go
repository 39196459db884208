package planner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Rank orders the VMs by their rendezvous hash for the key, lowest first, and returns the first n.
func Rank(key string, vms []modeler.VMName, n int) []modeler.VMName {
	type scored struct {
		name  modeler.VMName
		score uint64
	}
	all := make([]scored, len(vms))
	for i, v := range vms {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(v))
		all[i] = scored{v, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]modeler.VMName, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.name)
	}
	return out
}
