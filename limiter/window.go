package limiter

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Allowance bounds the extra sends of the whole fleet to one service: in any window, at most Ratio times the requests,
// plus Slack. Spend checks each extra send against the requests before it. The requests that count are therefore those
// of the same window, or of one that begins up to a window earlier.
type Allowance struct {
	Ratio  float64
	Slack  float64 // in sends
	Window time.Duration
}

// windowSlots is the number of slots into which a window is divided for counting.
const windowSlots = 20

// Window counts the requests and the extra sends of one VM to one service over a sliding window. Its ring buffers have
// one slot more than the window, because a window that begins within a slot touches that many.
type Window struct {
	slotLength time.Duration
	requests   [windowSlots + 1]int
	extra      [windowSlots + 1]int
	lastSlot   int64
}

// advance clears the slots that are reused for the time up to now, and returns the position of the current slot.
func (w *Window) advance(now time.Duration) int64 {
	n := int64(now / w.slotLength)
	for k := max(w.lastSlot+1, n-windowSlots); k <= n; k++ {
		w.requests[k%(windowSlots+1)], w.extra[k%(windowSlots+1)] = 0, 0
	}
	w.lastSlot = max(w.lastSlot, n)
	return w.lastSlot % (windowSlots + 1)
}

// Earn records a request.
func (w *Window) Earn(now time.Duration) { w.requests[w.advance(now)]++ }

// Spend records an extra send if the VM may send one more, and reports whether it may: the VM's extra sends must stay
// within ratio times its own requests, plus slack, its part of the fleet's slack. Requests are counted over one slot
// less than the window, and extra sends over one slot more, so that a window that begins within a slot cannot exceed
// the bound.
func (w *Window) Spend(now time.Duration, ratio, slack float64) bool {
	current := w.advance(now)
	requests, extra := 0, 0
	for i := range w.extra {
		extra += w.extra[i]
		if int64(i) != (w.lastSlot+1)%(windowSlots+1) && int64(i) != (w.lastSlot+2)%(windowSlots+1) {
			requests += w.requests[i]
		}
	}
	if float64(extra+1) > ratio*float64(requests)+slack {
		return false
	}
	w.extra[current]++
	return true
}

// Windows holds the windows of all services of one VM.
type Windows struct {
	mu        sync.Mutex
	allowance Allowance
	fleet     func() int // number of VMs that share the allowance
	start     time.Time  // origin of the windows' times
	windows   map[modeler.ServiceName]*Window
}

// NewWindows returns the windows of one VM. The allowance is shared by as many VMs as fleet returns.
func NewWindows(a Allowance, fleet func() int) *Windows {
	return &Windows{allowance: a, fleet: fleet, start: time.Now(), windows: map[modeler.ServiceName]*Window{}}
}

// Earn records a request for the service.
func (w *Windows) Earn(now time.Time, service modeler.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(service).Earn(now.Sub(w.start))
}

// Spend records an extra send to the service if the allowance permits it, and reports whether it does. The share, from
// 0 to 1, is the part of the allowance within which all extra sends must stay for this kind of send to be permitted.
func (w *Windows) Spend(now time.Time, service modeler.ServiceName, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slack := w.allowance.Slack * SlackFraction / float64(max(1, w.fleet()))
	return w.window(service).Spend(now.Sub(w.start), share*w.allowance.Ratio*RatioFraction, share*slack)
}

// window returns the window of a service, and adds it if the service is new.
func (w *Windows) window(service modeler.ServiceName) *Window {
	x := w.windows[service]
	if x == nil {
		x = &Window{slotLength: w.allowance.Window / windowSlots, lastSlot: -1}
		w.windows[service] = x
	}
	return x
}

// Keep drops the windows of all services for which exists returns false.
func (w *Windows) Keep(exists func(modeler.ServiceName) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.windows {
		if !exists(s) {
			delete(w.windows, s)
		}
	}
}
