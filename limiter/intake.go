package limiter

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Intake bounds how many callers' connections a VM has and what they hold together, in bytes. When a bound is exceeded,
// connections are evicted. If they hold too much, the one that has held most for longest, without finishing its request,
// gives way first; if there are too many, the one that has been idle for longest, where a connection that has finished no
// request counts as older. A connection whose request is being served is never evicted; StartRun refuses requests instead.
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

// Open adds a connection, and evicts others if there are too many. The caller must call Close at its end. When the
// connection is evicted, evict is called without the intake's lock: with refuse if the request can still be refused,
// otherwise to close the connection, perhaps later than with refuse.
func (i *Intake) Open(now time.Time, evict func(refuse bool)) *Holding {
	h := &Holding{intake: i, evict: evict, since: now}
	i.mu.Lock()
	i.holdings[h] = struct{}{}
	victims := i.closeExcess(now)
	i.mu.Unlock()
	runAll(victims)
	return h
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
	runAll(victims)
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
	runAll(victims)
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

func runAll(steps []func()) {
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
