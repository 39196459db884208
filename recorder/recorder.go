package recorder

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Recorder keeps the latest events of one process in a ring buffer.
type Recorder struct {
	mu           sync.Mutex
	vm           modeler.VMName
	clock        *Clock
	ring         []Event
	nextPosition uint64
	sampledShare float64
}

// Option changes a Recorder under construction.
type Option func(*Recorder)

// WithCapacity sets how many events the ring keeps.
func WithCapacity(n int) Option {
	return func(r *Recorder) { r.ring = make([]Event, n) }
}

// WithSample sets the share of ordinary queries whose attempts are kept, from 0 to 1. A query is ordinary if all shards
// answered and no extra attempt was sent.
func WithSample(share float64) Option {
	return func(r *Recorder) { r.sampledShare = share }
}

// NewRecorder returns an empty Recorder for the events of a VM.
func NewRecorder(vm modeler.VMName, clock *Clock, options ...Option) *Recorder {
	r := &Recorder{vm: vm, clock: clock, sampledShare: 1}
	for _, o := range options {
		o(r)
	}
	if len(r.ring) == 0 {
		r.ring = make([]Event, DefaultCapacity)
	}
	return r
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Stamp returns the event with its time and VM filled in.
func (r *Recorder) Stamp(e Event) Event {
	e.At = r.clock.Now()
	e.VM = r.vm
	return e
}

// Record stamps an event and adds it to the ring.
func (r *Recorder) Record(e Event) { r.Append([]Event{r.Stamp(e)}) }

// Append adds stamped events to the ring. They overwrite the oldest events once the ring is full.
func (r *Recorder) Append(events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.ring[r.nextPosition%uint64(len(r.ring))] = e
		r.nextPosition++
	}
}

// Sampled reports whether the attempts of an ordinary query are kept. It depends only on the request ID and the share,
// so that all VMs with the same share keep the same queries.
func (r *Recorder) Sampled(id modeler.RequestID) bool {
	if r.sampledShare >= 1 {
		return true
	}
	return float64(xxhash.Sum64String(string(id))>>11)/(1<<53) < r.sampledShare
}

// Events returns the events still in the ring from a position on, and the position that the next event will get.
// If a request is given, only its events are returned.
func (r *Recorder) Events(from uint64, request modeler.RequestID) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	if r.nextPosition > size {
		from = max(from, r.nextPosition-size)
	}
	var out []Event
	for i := from; i < r.nextPosition; i++ {
		e := r.ring[i%size]
		if request == "" || e.Request == request {
			out = append(out, e)
		}
	}
	return out, r.nextPosition
}

// Merge merges the time lines of several processes into one in causal order.
func Merge(lines ...[]Event) []Event {
	all := slices.Concat(lines...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At.Wall, b.At.Wall), cmp.Compare(a.At.Logical, b.At.Logical), cmp.Compare(a.VM, b.VM))
	})
	return all
}
