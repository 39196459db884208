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

// BucketSize is how many consecutively numbered services share their relays.
const BucketSize = 16

// BucketOf returns the bucket of a service, the group of services that share their relays. The bucket's name is that of
// the service, with the trailing number divided by BucketSize. A service without a number is a bucket of its own.
func BucketOf(service modeler.ServiceName) string {
	name := string(service)
	prefix := strings.TrimRight(name, "0123456789")
	n, err := strconv.Atoi(name[len(prefix):])
	if err != nil {
		return name
	}
	return prefix + strconv.Itoa(n/BucketSize)
}

// vmScore is a VM with its rendezvous hash for a key.
type vmScore struct {
	name  modeler.VMName
	score uint64
}

func compareScores(a, b vmScore) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
}

// scoreOf returns the rendezvous hash of a key and a VM name, separated by a zero byte.
func scoreOf(key string, vm modeler.VMName) vmScore {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return vmScore{vm, d.Sum64()}
}

// Owners caches the owners of each bucket: the VMs that come first by rendezvous hash, and act as relays for the
// bucket's services, the last of them in reserve. A VM that joins costs one hash per bucket; when a VM is lost, only the
// buckets that it owned are ranked again.
type Owners struct {
	mu        sync.Mutex
	perBucket int
	vms       map[modeler.VMName]bool
	buckets   map[string][]vmScore
}

// NewOwners returns a cache of at most perBucket owners for each bucket.
func NewOwners(perBucket int) *Owners {
	return &Owners{perBucket: perBucket, vms: map[modeler.VMName]bool{}, buckets: map[string][]vmScore{}}
}

// Set replaces the VMs that may own buckets.
func (o *Owners) Set(vms []modeler.VMName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[modeler.VMName]bool, len(vms))
	for _, v := range vms {
		next[v] = true
		if !o.vms[v] {
			o.add(v)
		}
	}
	for v := range o.vms {
		if !next[v] {
			o.remove(v)
		}
	}
	o.vms = next
}

// add inserts a VM into the cached buckets in which it is among the first perBucket.
func (o *Owners) add(v modeler.VMName) {
	for b, list := range o.buckets {
		s := scoreOf(b, v)
		i, found := slices.BinarySearchFunc(list, s, compareScores)
		if found || i == o.perBucket {
			continue
		}
		list = slices.Insert(list, i, s)
		o.buckets[b] = list[:min(o.perBucket, len(list))]
	}
}

// remove drops the cached buckets that a VM owned. Of ranks them again at the next call.
func (o *Owners) remove(v modeler.VMName) {
	for b, list := range o.buckets {
		if slices.ContainsFunc(list, func(s vmScore) bool { return s.name == v }) {
			delete(o.buckets, b)
		}
	}
}

// Of returns the owners of a bucket, in ascending order of their rendezvous hash.
func (o *Owners) Of(bucket string) []modeler.VMName {
	o.mu.Lock()
	defer o.mu.Unlock()
	list, ok := o.buckets[bucket]
	if !ok {
		list = make([]vmScore, 0, len(o.vms))
		for v := range o.vms {
			list = append(list, scoreOf(bucket, v))
		}
		slices.SortFunc(list, compareScores)
		list = slices.Clone(list[:min(o.perBucket, len(list))])
		o.buckets[bucket] = list
	}
	out := make([]modeler.VMName, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}
