package planner

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Rank returns the n VMs with the lowest rendezvous hash for the key, lowest first.
func Rank(key string, vms []modeler.VMName, n int) []modeler.VMName {
	all := make([]vmScore, len(vms))
	for i, v := range vms {
		all[i] = scoreOf(key, v)
	}
	slices.SortFunc(all, compareScores)
	out := make([]modeler.VMName, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.name)
	}
	return out
}

// NameHash is the hash of a name. Score computes the rendezvous hash of two names from their hashes, without hashing
// the names again. This hash differs from the one that Rank and Owners use. VMs use it to share out the connections to
// the searchers.
type NameHash uint64

// HashName returns the hash of a name.
func HashName(name string) NameHash { return NameHash(xxhash.Sum64String(name)) }

// Score returns the rendezvous hash of two names, given their hashes. Of several pairs, the one with the lowest score
// ranks first.
func (h NameHash) Score(other NameHash) uint64 {
	x := uint64(h) ^ bits.RotateLeft64(uint64(other), 32)
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}

// Multipliers of the finalizer of SplitMix64.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)
