package limiter

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Allowance bounds the extra sends of the whole fleet to one service: in any window at most ratio times the requests in it, and the slack.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// windowSlots is how many slots a window is counted in.
const windowSlots = 20

// Window counts the requests and the extra sends of one VM to one service over a sliding window.
type Window struct {
	slot     time.Duration
	requests [windowSlots + 1]int
	extra    [windowSlots + 1]int
	last     int64
}

// advance empties the slots that have left the window and returns the current one.
func (w *Window) advance(now time.Duration) int64 {
	n := int64(now / w.slot)
	for k := max(w.last+1, n-windowSlots); k <= n; k++ {
		w.requests[k%(windowSlots+1)], w.extra[k%(windowSlots+1)] = 0, 0
	}
	w.last = max(w.last, n)
	return w.last % (windowSlots + 1)
}

// Earn records a request.
func (w *Window) Earn(now time.Duration) { w.requests[w.advance(now)]++ }

// Spend takes an extra send if the ratio of the VM's own requests and its part of the slack allow one more. Requests count from one slot less than the window and extra sends from one slot more, so that no window that begins between two slots breaks the bound.
func (w *Window) Spend(now time.Duration, ratio, slack float64) bool {
	at := w.advance(now)
	requests, extra := 0, 0
	for i := range w.extra {
		extra += w.extra[i]
		if int64(i) != (w.last+1)%(windowSlots+1) && int64(i) != (w.last+2)%(windowSlots+1) {
			requests += w.requests[i]
		}
	}
	if float64(extra+1) > ratio*float64(requests)+slack {
		return false
	}
	w.extra[at]++
	return true
}

// Windows holds the windows of all services of one VM.
type Windows struct {
	mu        sync.Mutex
	allowance Allowance
	fleet     func() int
	start     time.Time
	services  map[modeler.ServiceName]*Window
}

// NewWindows makes windows within an allowance that fleet VMs share.
func NewWindows(a Allowance, fleet func() int) *Windows {
	return &Windows{allowance: a, fleet: fleet, start: time.Now(), services: map[modeler.ServiceName]*Window{}}
}

// Earn records a request for the service.
func (w *Windows) Earn(now time.Time, service modeler.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.of(service).Earn(now.Sub(w.start))
}

// Spend takes an extra send to the service; share, from 0 to 1, is the part of the allowance that this kind of send may use.
func (w *Windows) Spend(now time.Time, service modeler.ServiceName, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slack := w.allowance.Slack * SlackShare / float64(max(1, w.fleet()))
	return w.of(service).Spend(now.Sub(w.start), share*w.allowance.Ratio*RatioShare, share*slack)
}

func (w *Windows) of(service modeler.ServiceName) *Window {
	x := w.services[service]
	if x == nil {
		x = &Window{slot: w.allowance.Window / windowSlots, last: -1}
		w.services[service] = x
	}
	return x
}

// Keep forgets the services that are not named.
func (w *Windows) Keep(has func(modeler.ServiceName) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.services {
		if !has(s) {
			delete(w.services, s)
		}
	}
}
