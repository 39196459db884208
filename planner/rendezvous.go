package planner

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

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

// Key is the hash of a name, from which scores of pairs are made without reading the names again.
type Key uint64

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Score returns the rendezvous hash of two keys; the pair with the lowest comes first.
func (k Key) Score(other Key) uint64 {
	x := uint64(k) ^ bits.RotateLeft64(uint64(other), 32)
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}

// The multipliers of the finalizer of SplitMix64.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)
