package limiter

import (
	"math"
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
	runAll(victims)
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

// idleness ranks connections by how little is lost with them: those that are to end anyway, then the ones that have been
// idle for longest, where time without ever finishing a request counts more. It is 0 for a connection whose request is
// being served.
func (h *Holding) idleness(now time.Time) float64 {
	switch {
	case h.evicted:
		return math.Inf(1)
	case h.phase == PhaseRunning:
		return 0
	case h.phase == PhaseIdle || h.phase == PhaseWriting:
		return h.age(now)
	}
	return UnfinishedWeight * h.age(now)
}
