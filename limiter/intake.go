package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Phase is what a caller's connection is doing.
type Phase uint8

// The phases of a connection.
const (
	PhaseUnused  Phase = iota // nothing was received on it yet
	PhaseIdle                 // its last request is over and nothing of a next one was received
	PhaseHead                 // a part of the head of a request was received
	PhaseBody                 // the head was received, and the body may be on its way
	PhaseRunning              // the request was received and is being served
	PhaseWriting              // the answer is being written
)

// Intake bounds what the callers' connections of a VM hold together, in bytes. When the bound is exceeded, connections
// are evicted: the one that has held most for longest, without finishing its request, first. A connection whose request
// is being served is never evicted; StartRun refuses requests instead.
type Intake struct {
	mu       sync.Mutex
	maxBytes int64
	bytes    int64 // held by all connections
	running  int64 // held by those in PhaseRunning
	evicted  int   // since the last TakeEvicted
	holdings map[*Holding]struct{}
}

// NewIntake returns an intake for connections that together hold at most maxBytes.
func NewIntake(maxBytes int64) *Intake {
	return &Intake{maxBytes: maxBytes, holdings: map[*Holding]struct{}{}}
}

// Holding is what one connection holds. A nil Holding belongs to a connection without bounds.
type Holding struct {
	intake *Intake
	evict  func(Phase) // called once, without the intake's lock, with the phase in which the connection is evicted
	phase  Phase
	since  time.Time // when the connection began its request or became idle
	bytes  int64
	gone   bool // closed or evicted
}

// Open adds a connection. The caller must call Close at its end.
func (i *Intake) Open(now time.Time, evict func(Phase)) *Holding {
	h := &Holding{intake: i, evict: evict, since: now}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.holdings[h] = struct{}{}
	return h
}

// Close removes the connection.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	h.drop()
}

// GrowHead adds bytes that the connection holds of the head of a request, and reports whether it may go on; see Grow.
func (h *Holding) GrowHead(now time.Time, n int64) bool {
	return h == nil || h.grow(now, PhaseHead, n)
}

// StartBody says that the head of a request was received.
func (h *Holding) StartBody(now time.Time) {
	if h != nil {
		h.grow(now, PhaseBody, 0)
	}
}

// Grow adds bytes that the connection holds of the body of a request, and reports whether it may go on. If all connections
// together hold too much, some are evicted, perhaps this one.
func (h *Holding) Grow(now time.Time, n int64) bool {
	return h == nil || h.grow(now, PhaseBody, n)
}

func (h *Holding) grow(now time.Time, p Phase, n int64) bool {
	i := h.intake
	i.mu.Lock()
	if h.gone {
		i.mu.Unlock()
		return false
	}
	h.set(p, now)
	h.bytes += n
	i.bytes += n
	victims := i.evictExcess(now)
	ok := !h.gone
	i.mu.Unlock()
	evict(victims)
	return ok
}

// StartRun says that the request was received, and reports whether it may be served: whether the requests that are being
// served leave room for it, and as much again for smaller ones. If none is being served, it always may.
func (h *Holding) StartRun(now time.Time) bool {
	if h == nil {
		return true
	}
	i := h.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	room := i.maxBytes/RunningDivisor - i.running
	if h.gone || (i.running > 0 && h.bytes > room/2) {
		return false
	}
	h.set(PhaseRunning, now)
	i.running += h.bytes
	return true
}

// Release says that the request was served or refused, and that the connection holds nothing more of it.
func (h *Holding) Release(now time.Time) { h.release(PhaseWriting, now) }

// Finish says that the request was answered, and that the connection waits for the next one.
func (h *Holding) Finish(now time.Time) { h.release(PhaseIdle, now) }

func (h *Holding) release(p Phase, now time.Time) {
	if h == nil {
		return
	}
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	if h.gone {
		return
	}
	h.set(p, now)
	h.intake.bytes -= h.bytes
	h.bytes = 0
}

// Load returns how many connections there are and how many bytes they hold.
func (i *Intake) Load() (conns int, bytes int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.holdings), i.bytes
}

// TakeEvicted returns how many connections were evicted since the last call.
func (i *Intake) TakeEvicted() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := i.evicted
	i.evicted = 0
	return n
}

// set changes the phase. The age of a request counts from its first byte.
func (h *Holding) set(p Phase, now time.Time) {
	if h.phase == PhaseRunning && p != PhaseRunning {
		h.intake.running -= h.bytes
	}
	if h.phase == PhaseUnused || h.phase == PhaseIdle || p == PhaseIdle {
		h.since = now
	}
	h.phase = p
}

// evictExcess takes out holdings while all together are too large, and then some more, so that this is rare.
func (i *Intake) evictExcess(now time.Time) []eviction {
	if i.bytes <= i.maxBytes {
		return nil
	}
	enough := i.maxBytes - i.maxBytes/EvictionDivisor
	return i.evictUntil(func(h *Holding) float64 { return h.burden(now) }, func() bool { return i.bytes <= enough })
}

// burden is what a holding costs the others, in byte seconds, or 0 if it must not be evicted.
func (h *Holding) burden(now time.Time) float64 {
	switch h.phase {
	case PhaseHead, PhaseBody:
		return float64(h.bytes) * (now.Sub(h.since) + time.Millisecond).Seconds()
	}
	return 0
}

// eviction is a holding that was taken out and the phase that it was in.
type eviction struct {
	holding *Holding
	phase   Phase
}

func evict(victims []eviction) {
	for _, e := range victims {
		e.holding.evict(e.phase)
	}
}

// evictUntil takes out holdings in descending order of their rank until enough are out. Those of rank 0 stay.
func (i *Intake) evictUntil(rank func(*Holding) float64, enough func() bool) []eviction {
	type ranked struct {
		holding *Holding
		rank    float64
	}
	var order []ranked
	for h := range i.holdings {
		if n := rank(h); n > 0 {
			order = append(order, ranked{h, n})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var victims []eviction
	for _, r := range order {
		if enough() {
			break
		}
		victims = append(victims, r.holding.remove())
	}
	return victims
}

// remove takes out a holding that is to be evicted.
func (h *Holding) remove() eviction {
	h.drop()
	h.intake.evicted++
	return eviction{h, h.phase}
}

// drop takes a holding out of the intake's sums.
func (h *Holding) drop() {
	i := h.intake
	if h.gone {
		return
	}
	h.gone = true
	if h.phase == PhaseRunning {
		i.running -= h.bytes
	}
	i.bytes -= h.bytes
	h.bytes = 0
	delete(i.holdings, h)
}
