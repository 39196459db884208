package planner

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// BucketServices is how many adjacent services share their relays.
const BucketServices = 16

// BucketOf returns the group of services that share their relays: the name without its number, and the number's block.
func BucketOf(service modeler.ServiceName) string {
	name := string(service)
	prefix := strings.TrimRight(name, "0123456789")
	n, err := strconv.Atoi(name[len(prefix):])
	if err != nil {
		return name
	}
	return prefix + strconv.Itoa(n/BucketServices)
}

type scored struct {
	name  modeler.VMName
	score uint64
}

func compareScored(a, b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

func score(key string, vm modeler.VMName) scored {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return scored{vm, d.Sum64()}
}

// Owners keeps the first VMs of each bucket by rendezvous hash, and follows joins and losses at the cost of one hash a bucket.
type Owners struct {
	mu      sync.Mutex
	keep    int
	vms     map[modeler.VMName]bool
	buckets map[string][]scored
}

// NewOwners makes owners of which each bucket has at most keep.
func NewOwners(keep int) *Owners {
	return &Owners{keep: keep, vms: map[modeler.VMName]bool{}, buckets: map[string][]scored{}}
}

// Set replaces the VMs that may own buckets.
func (o *Owners) Set(vms []modeler.VMName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := make(map[modeler.VMName]bool, len(vms))
	for _, v := range vms {
		now[v] = true
		if !o.vms[v] {
			o.add(v)
		}
	}
	for v := range o.vms {
		if !now[v] {
			o.remove(v)
		}
	}
	o.vms = now
}

func (o *Owners) add(v modeler.VMName) {
	for b, list := range o.buckets {
		s := score(b, v)
		at, found := slices.BinarySearchFunc(list, s, compareScored)
		if found || at == o.keep {
			continue
		}
		list = slices.Insert(list, at, s)
		o.buckets[b] = list[:min(o.keep, len(list))]
	}
}

// remove forgets the buckets of a lost owner; they are ranked again when they are asked for.
func (o *Owners) remove(v modeler.VMName) {
	for b, list := range o.buckets {
		if slices.ContainsFunc(list, func(s scored) bool { return s.name == v }) {
			delete(o.buckets, b)
		}
	}
}

// Of returns the owners of a bucket, first choice first.
func (o *Owners) Of(bucket string) []modeler.VMName {
	o.mu.Lock()
	defer o.mu.Unlock()
	list, ok := o.buckets[bucket]
	if !ok {
		list = make([]scored, 0, len(o.vms))
		for v := range o.vms {
			list = append(list, score(bucket, v))
		}
		slices.SortFunc(list, compareScored)
		list = slices.Clone(list[:min(o.keep, len(list))])
		o.buckets[bucket] = list
	}
	out := make([]modeler.VMName, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}
