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

// Intake bounds how many callers' connections a VM has and what they hold together, in bytes. When a bound is exceeded,
// connections are evicted. If they hold too much, the one that has held most for longest, without finishing its request,
// gives way first; if there are too many, one that never finished a request. A connection whose request is being served
// is never evicted; StartRun refuses requests instead.
type Intake struct {
	mu       sync.Mutex
	maxBytes int64
	maxConns int
	bytes    int64 // held by all connections
	running  int64 // held by those in PhaseRunning
	evicted  int   // since the last TakeEvicted
	holdings map[*Holding]struct{}
}

// NewIntake returns an intake for at most maxConns connections, which together hold at most maxBytes.
func NewIntake(maxBytes int64, maxConns int) *Intake {
	return &Intake{maxBytes: maxBytes, maxConns: maxConns, holdings: map[*Holding]struct{}{}}
}

// Holding is what one connection holds. A nil Holding belongs to a connection without bounds.
type Holding struct {
	intake  *Intake
	evict   func(refuse bool)
	phase   Phase
	since   time.Time // when the connection began its request or became idle
	moved   time.Time // when it last took a part of its answer
	bytes   int64
	evicted bool // what it held is no longer counted
	closed  bool // it is no longer counted
}

// Open adds a connection, and evicts others if there are too many. The caller must call Close at its end. When the
// connection is evicted, evict is called without the intake's lock: with refuse if the request can still be refused,
// otherwise to close the connection, perhaps later than with refuse.
func (i *Intake) Open(now time.Time, evict func(refuse bool)) *Holding {
	h := &Holding{intake: i, evict: evict, since: now}
	i.mu.Lock()
	i.holdings[h] = struct{}{}
	victims := i.closeExcess(now)
	i.mu.Unlock()
	run(victims)
	return h
}

// Close removes the connection.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.intake.mu.Lock()
	defer h.intake.mu.Unlock()
	h.close()
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
	if h.isOut() {
		i.mu.Unlock()
		return false
	}
	h.set(p, now)
	h.bytes += n
	i.bytes += n
	victims := i.evictExcess(now)
	ok := !h.isOut()
	i.mu.Unlock()
	run(victims)
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
	if h.isOut() || (i.running > 0 && h.bytes > room/2) {
		return false
	}
	h.set(PhaseRunning, now)
	i.running += h.bytes
	return true
}

// StartWrite says that n bytes of the answer are to be written, and wait until the caller reads them.
func (h *Holding) StartWrite(now time.Time, n int64) {
	if h == nil {
		return
	}
	h.grow(now, PhaseWriting, n)
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
	if h.isOut() {
		return
	}
	h.clear()
	h.set(p, now)
}

// Timeouts bounds how long a connection may stay in a phase; 0 is no bound.
type Timeouts struct {
	Idle time.Duration // without a request, before the first one and between two
	Head time.Duration // to send the head of a request
	Read time.Duration // without taking any part of an answer
}

// CloseOverdue closes the connections that have been in a phase for longer than its timeout. Bodies have a timeout of
// their own, which the server keeps.
func (i *Intake) CloseOverdue(now time.Time, t Timeouts) {
	i.mu.Lock()
	var victims []func()
	for h := range i.holdings {
		if h.isOverdue(now, t) {
			h.close()
			victims = append(victims, func() { h.evict(false) })
		}
	}
	i.mu.Unlock()
	run(victims)
}

// EvictUnfinished evicts the connections whose request has not been received whole within the given time.
func (i *Intake) EvictUnfinished(now time.Time, within time.Duration) {
	i.mu.Lock()
	var victims []func()
	for h := range i.holdings {
		unfinished := h.phase == PhaseHead || h.phase == PhaseBody
		if unfinished && !h.evicted && now.Sub(h.since) > within {
			victims = append(victims, h.takeBytes())
		}
	}
	i.mu.Unlock()
	run(victims)
}

func (h *Holding) isOverdue(now time.Time, t Timeouts) bool {
	switch h.phase {
	case PhaseUnused, PhaseIdle:
		return t.Idle > 0 && now.Sub(h.since) > t.Idle
	case PhaseHead:
		return t.Head > 0 && now.Sub(h.since) > t.Head
	case PhaseWriting:
		return t.Read > 0 && now.Sub(h.moved) > t.Read
	}
	return false
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

// isOut reports whether the connection is to end or has ended.
func (h *Holding) isOut() bool { return h.evicted || h.closed }

// set changes the phase. The age of a request counts from its first byte.
func (h *Holding) set(p Phase, now time.Time) {
	if h.phase == PhaseRunning && p != PhaseRunning {
		h.intake.running -= h.bytes
	}
	if h.phase == PhaseUnused || h.phase == PhaseIdle || p == PhaseIdle {
		h.since = now
	}
	h.phase, h.moved = p, now
}

// clear makes the connection hold nothing.
func (h *Holding) clear() {
	if h.phase == PhaseRunning {
		h.intake.running -= h.bytes
	}
	h.intake.bytes -= h.bytes
	h.bytes = 0
}

// close takes the connection out of the intake.
func (h *Holding) close() {
	if h.closed {
		return
	}
	h.clear()
	h.closed = true
	delete(h.intake.holdings, h)
}

// evictExcess evicts connections while all together hold too much, and then some more, so that this is rare.
func (i *Intake) evictExcess(now time.Time) []func() {
	if i.bytes <= i.maxBytes {
		return nil
	}
	most := i.maxBytes - i.maxBytes/EvictionDivisor
	var victims []func()
	for _, h := range i.ranked(func(h *Holding) float64 { return h.burden(now) }) {
		if i.bytes <= most {
			break
		}
		victims = append(victims, h.takeBytes())
	}
	return victims
}

// closeExcess closes connections while there are too many, and then some more.
func (i *Intake) closeExcess(now time.Time) []func() {
	if len(i.holdings) <= i.maxConns {
		return nil
	}
	most := i.maxConns - i.maxConns/EvictionDivisor
	var victims []func()
	for _, h := range i.ranked(func(h *Holding) float64 { return h.idleness(now) }) {
		if len(i.holdings) <= most {
			break
		}
		victims = append(victims, h.takeConn())
	}
	return victims
}

// takeBytes evicts the connection for what it holds, and returns what is left to do without the lock.
func (h *Holding) takeBytes() func() {
	h.clear()
	h.evicted = true
	h.intake.evicted++
	refuse := h.phase == PhaseBody
	return func() { h.evict(refuse) }
}

// takeConn evicts the connection for its place, and returns what is left to do without the lock.
func (h *Holding) takeConn() func() {
	h.close()
	h.intake.evicted++
	return func() { h.evict(false) }
}

func run(steps []func()) {
	for _, step := range steps {
		step()
	}
}

// ranked returns the connections in descending order of their rank, without those of rank 0.
func (i *Intake) ranked(rank func(*Holding) float64) []*Holding {
	ranks := make(map[*Holding]float64, len(i.holdings))
	var order []*Holding
	for h := range i.holdings {
		if n := rank(h); n > 0 {
			ranks[h] = n
			order = append(order, h)
		}
	}
	slices.SortFunc(order, func(a, b *Holding) int { return cmp.Compare(ranks[b], ranks[a]) })
	return order
}

// age returns for how long the connection has had its request or been idle, in seconds, and never 0.
func (h *Holding) age(now time.Time) float64 { return (now.Sub(h.since) + time.Millisecond).Seconds() }

// burden returns what the connection costs the others, in byte seconds, or 0 if it must not be evicted for that.
func (h *Holding) burden(now time.Time) float64 {
	switch h.phase {
	case PhaseHead, PhaseBody, PhaseWriting:
		return float64(h.bytes) * h.age(now)
	}
	return 0
}

// idleness ranks connections by how little is lost with them: those that are to end anyway, those that never finished a
// request, those that wait for the next one, and those whose answer is not read. It is 0 for a connection whose request
// is being served.
func (h *Holding) idleness(now time.Time) float64 {
	const step = 1e6 // seconds; more than any connection's age
	switch {
	case h.evicted:
		return 4*step + h.age(now)
	case h.phase == PhaseRunning:
		return 0
	case h.phase == PhaseIdle:
		return 2*step + h.age(now)
	case h.phase == PhaseWriting:
		return step + h.age(now)
	}
	return 3*step + h.age(now)
}
