package recorder

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Recorder is the bounded ring of events of one process.
type Recorder struct {
	mu     sync.Mutex
	vm     modeler.VMName
	clock  *Clock
	ring   []Event
	next   uint64
	sample float64
}

// Option changes a Recorder under construction.
type Option func(*Recorder)

// WithCapacity sets how many events the ring keeps.
func WithCapacity(n int) Option {
	return func(r *Recorder) { r.ring = make([]Event, n) }
}

// WithSample sets the share of ordinary queries whose attempts are kept.
func WithSample(share float64) Option {
	return func(r *Recorder) { r.sample = share }
}

// NewRecorder makes an empty ring for the events of a VM.
func NewRecorder(vm modeler.VMName, clock *Clock, options ...Option) *Recorder {
	r := &Recorder{vm: vm, clock: clock, sample: 1}
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

// Stamp fills in the time and the VM of an event.
func (r *Recorder) Stamp(e Event) Event {
	e.At = r.clock.Now()
	e.VM = r.vm
	return e
}

// Record stamps an event and keeps it.
func (r *Recorder) Record(e Event) { r.Keep([]Event{r.Stamp(e)}) }

// Keep adds stamped events to the ring, over the oldest ones.
func (r *Recorder) Keep(events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		r.ring[r.next%uint64(len(r.ring))] = e
		r.next++
	}
}

// Sampled reports whether the attempts of an ordinary query are kept; every VM decides alike.
func (r *Recorder) Sampled(id modeler.RequestID) bool {
	if r.sample >= 1 {
		return true
	}
	return float64(xxhash.Sum64String(string(id))>>11)/(1<<53) < r.sample
}

// Events returns the kept events from position after on, of one request if it is named, and the position of the next event.
func (r *Recorder) Events(after uint64, request modeler.RequestID) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.ring))
	if r.next > size {
		after = max(after, r.next-size)
	}
	var out []Event
	for i := after; i < r.next; i++ {
		e := r.ring[i%size]
		if request == "" || e.Request == request {
			out = append(out, e)
		}
	}
	return out, r.next
}

// Merge joins the time lines of several processes in causal order.
func Merge(lines ...[]Event) []Event {
	all := slices.Concat(lines...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At.Wall, b.At.Wall), cmp.Compare(a.At.Logical, b.At.Logical), cmp.Compare(a.VM, b.VM))
	})
	return all
}
