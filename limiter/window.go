package limiter

import (
	"iter"
	"math"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Allowance bounds the extra sends of the whole fleet to one service: in any window, at most Ratio times the requests,
// plus Slack. The requests that count are those of the same window, or of one that begins up to a window earlier.
type Allowance struct {
	Ratio  float64
	Slack  float64 // in sends
	Window time.Duration
}

// Lengths in slots, of which a window has windowSlots.
const (
	windowSlots  = 20
	historySlots = 2*windowSlots + 1 // for which requests are counted
	creditSlots  = 6                 // in which a credit can be spent, with the one in which it was earned
	minHistory   = 4                 // from which a rate is extrapolated
)

// Fractions of the ratio. Steady requests pay for the extra sends of a window once, and credits for those of a window,
// of their own lifetime before it, and of the second that an extra send may take to arrive. Together they stay within
// the ratio.
const (
	SteadyFraction = 0.7
	CreditFraction = 0.2
)

// tolerance absorbs rounding errors in sums of credits.
const tolerance = 1e-9

// Window bounds the extra sends of one VM to one service, so that those of all VMs together stay within the allowance,
// however the requests move between the VMs. A slot is the unit in which time is counted.
//
// Steady requests are the fewest that the VM received in any window that ended within the last window. In each window
// before which the fleet's requests are counted, the VM received at least as many, so no request counts for two VMs.
// For these and the VM's part of the slack, extra sends are limited in each window. Requests beyond the steady ones may
// have been another VM's before, which has spent the allowance for them. So each request also earns a credit, a small
// fraction of a send that can be spent once and expires after creditSlots.
type Window struct {
	slotLength time.Duration
	since      int64 // slot from which requests are known; before it they count as 0 if it is negative, else as unknown
	used       bool  // a request was recorded
	requests   [historySlots]int
	earned     [creditSlots]float64
	credits    [creditSlots]float64     // what is left of earned
	charged    [windowSlots + 1]float64 // extra sends beyond credits; a window that begins within a slot touches one slot more
	lastSlot   int64
}

// newWindow returns a window without requests. If the service is new to the whole fleet (isNew), earlier requests are
// unknown, otherwise they count as 0.
func newWindow(slotLength, now time.Duration, isNew bool) *Window {
	w := &Window{slotLength: slotLength, since: -1, lastSlot: int64(now/slotLength) - 1}
	if isNew {
		w.since = int64(now / slotLength)
	}
	return w
}

// advance clears the slots that are reused for the time up to now.
func (w *Window) advance(now time.Duration) {
	n := int64(now / w.slotLength)
	for k := max(w.lastSlot+1, n-historySlots+1); k <= n; k++ {
		w.requests[k%historySlots] = 0
		w.earned[k%creditSlots], w.credits[k%creditSlots] = 0, 0
		w.charged[k%(windowSlots+1)] = 0
	}
	w.lastSlot = max(w.lastSlot, n)
}

// Earn records a request. The ratio is that of the allowance. If it is the first one and comes soon after the service
// was added, requests are known from here on, because callers may not have known the service before.
func (w *Window) Earn(now time.Duration, ratio float64) {
	w.advance(now)
	if !w.used && w.since >= 0 && w.lastSlot-w.since < windowSlots {
		w.since = w.lastSlot
	}
	w.used = true
	w.requests[w.lastSlot%historySlots]++
	w.earned[w.lastSlot%creditSlots] += ratio * CreditFraction
	w.credits[w.lastSlot%creditSlots] += ratio * CreditFraction
}

// Spend pays for an extra send and reports whether the VM could. The slack is the VM's part of the fleet's slack, in
// sends. The share, from 0 to 1, is the part of what the VM may send that this kind of send may use up; a first send is
// always allowed.
func (w *Window) Spend(now time.Duration, ratio, slack, share float64) bool {
	w.advance(now)
	limit := ratio*SteadyFraction*w.steadyRequests() + slack
	whole := sum(w.earned[:]) + limit
	left := sum(w.credits[:]) + max(0, limit-sum(w.charged[:]))
	if reserve := min((1-share)*whole, max(0, whole-1)); left-1 < reserve-tolerance {
		return false
	}
	w.pay()
	return true
}

// steadyRequests returns the fewest requests of any window that ended within the last window. Where the history is too
// short for a window, its rate is extrapolated, but no more requests count than the history has. All requests count while
// it is shorter than minHistory.
func (w *Window) steadyRequests() float64 {
	if w.since < 0 && w.lastSlot < windowSlots {
		return 0
	}
	fewest := math.Inf(1)
	inWindow := 0
	oldest := max(0, w.lastSlot-historySlots+1)
	for end := oldest; end <= w.lastSlot; end++ {
		inWindow += w.requests[end%historySlots]
		if end-windowSlots >= oldest {
			inWindow -= w.requests[(end-windowSlots)%historySlots]
		}
		length := w.known(end)
		if end >= w.lastSlot-windowSlots && length >= minHistory {
			fewest = min(fewest, float64(inWindow)*windowSlots/float64(length))
		}
	}
	if math.IsInf(fewest, 1) {
		return float64(inWindow)
	}
	return fewest * float64(w.known(w.lastSlot)) / windowSlots
}

// known returns how many slots of the window that ends with the slot have a known number of requests.
func (w *Window) known(end int64) int64 {
	if w.since < 0 {
		return windowSlots
	}
	return min(windowSlots, end-w.since+1)
}

// pay takes one send from the credits, the oldest first, and charges what they lack.
func (w *Window) pay() {
	cost := 1.0
	for i := int64(1); i <= creditSlots; i++ {
		c := &w.credits[(w.lastSlot+i)%creditSlots]
		paid := min(*c, cost)
		*c -= paid
		cost -= paid
	}
	w.charged[w.lastSlot%(windowSlots+1)] += cost
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// Windows holds the windows of all services of one VM.
type Windows struct {
	mu        sync.Mutex
	allowance Allowance
	fleet     func() int // number of VMs that share the slack
	start     time.Time  // origin of the windows' times
	unspentAt time.Time  // from when no send of an earlier incarnation counts any more
	windows   map[modeler.ServiceName]*Window
	denied    map[modeler.ServiceName]int // extra sends since the last TakeDenied

	hasRequests bool // of any service
}

// WindowsOption changes Windows under construction.
type WindowsOption func(*Windows)

// WithRestart says that the VM started at the given time while its fleet was running. An earlier incarnation may have
// spent the VM's part of the allowance, so the new one has no slack and no steady requests until these sends are out of
// every window.
func WithRestart(at time.Time) WindowsOption {
	return func(w *Windows) { w.unspentAt = at.Add(w.allowance.Window + TransitTime) }
}

// WithStart sets the origin of the windows' times, which is otherwise the time of the call of NewWindows.
func WithStart(at time.Time) WindowsOption { return func(w *Windows) { w.start = at } }

// NewWindows returns the windows of one VM. The slack is shared by as many VMs as fleet returns.
func NewWindows(a Allowance, fleet func() int, options ...WindowsOption) *Windows {
	w := &Windows{
		allowance: a, fleet: fleet, start: time.Now(),
		windows: map[modeler.ServiceName]*Window{}, denied: map[modeler.ServiceName]int{},
	}
	for _, o := range options {
		o(w)
	}
	return w
}

// Earn records a request for the service.
func (w *Windows) Earn(now time.Time, service modeler.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasRequests {
		w.hasRequests = true
		w.forgetIdleTime(now)
	}
	w.window(now, service).Earn(now.Sub(w.start), w.allowance.Ratio)
}

// forgetIdleTime makes the requests before the VM's first one unknown, because the fleet may have had none.
func (w *Windows) forgetIdleTime(now time.Time) {
	for _, x := range w.windows {
		if x.since >= 0 {
			x.since = int64(now.Sub(w.start) / x.slotLength)
		}
	}
}

// Spend records an extra send to the service if the allowance permits it, and reports whether it does. The share, from
// 0 to 1, is the part of what the VM may send that this kind of send may use up.
func (w *Windows) Spend(now time.Time, service modeler.ServiceName, share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slack := 0.0
	if !now.Before(w.unspentAt) {
		slack = w.allowance.Slack * SlackFraction / float64(max(1, w.fleet()))
	}
	if w.window(now, service).Spend(now.Sub(w.start), w.allowance.Ratio, slack, share) {
		return true
	}
	w.denied[service]++
	return false
}

// TakeDenied returns how many extra sends to each service were denied since its last call.
func (w *Windows) TakeDenied() map[modeler.ServiceName]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	denied := w.denied
	w.denied = map[modeler.ServiceName]int{}
	return denied
}

// window returns the window of a service, and adds it if the service is new. An earlier incarnation cannot have sent to
// a service that is new once its sends are out of every window.
func (w *Windows) window(now time.Time, service modeler.ServiceName) *Window {
	x := w.windows[service]
	if x == nil {
		x = newWindow(w.allowance.Window/windowSlots, now.Sub(w.start), !now.Before(w.unspentAt))
		w.windows[service] = x
	}
	return x
}

// SetServices drops the windows of all services but the given ones, and adds those that are missing.
func (w *Windows) SetServices(now time.Time, services iter.Seq[modeler.ServiceName]) {
	w.mu.Lock()
	defer w.mu.Unlock()
	keep := make(map[modeler.ServiceName]*Window, len(w.windows))
	for s := range services {
		keep[s] = w.window(now, s)
	}
	w.windows = keep
}
