package auditor

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Finding is the window in which a service came closest to its allowance.
type Finding struct {
	Service   modeler.ServiceName
	From      time.Time
	Requests  int
	Extra     int
	Allowed   float64 // extra attempts
	ByVM      map[modeler.VMName]int
	ByPurpose map[string]int
}

// Share returns the used part of the allowance; above 1 it is exceeded.
func (f *Finding) Share() float64 { return float64(f.Extra) / f.Allowed }

// Audit returns the worst window of each service that was sent extra attempts, the worst service first. The requests
// for a service are those on all routes on which a logged request needed an extra attempt at it.
func (l *Log) Audit(a limiter.Allowance) []Finding {
	out := make([]Finding, 0, len(l.extras))
	for service, list := range l.extras {
		slices.SortFunc(list, func(a, b extra) int { return a.at.Compare(b.at) })
		out = append(out, worstWindow(a, service, list, l.requestTimes(list)))
	}
	slices.SortFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Share(), a.Share()), cmp.Compare(a.Service, b.Service))
	})
	return out
}

// requestTimes returns when the requests came that count for the service to which the extra attempts went, in order.
func (l *Log) requestTimes(list []extra) []time.Time {
	routes := map[modeler.RouteName]bool{}
	for _, e := range list {
		if r, ok := l.requests[e.id]; ok {
			routes[r.route] = true
		}
	}
	var out []time.Time
	for _, r := range l.requests {
		if routes[r.route] {
			out = append(out, r.at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// worstWindow slides a window over the extra attempts. The requests that count are those of the window itself, of the
// one before it, or of the one half a window earlier, whichever has most.
func worstWindow(a limiter.Allowance, service modeler.ServiceName, list []extra, requests []time.Time) Finding {
	worst := Finding{Service: service, Allowed: 1}
	end := 0
	for i := range list {
		from := list[i].at
		for end < len(list) && list[end].at.Before(from.Add(a.Window)) {
			end++
		}
		n := max(count(requests, from, a.Window), count(requests, from.Add(-a.Window), a.Window), count(requests, from.Add(-a.Window/2), a.Window))
		f := Finding{Service: service, From: from, Requests: n, Extra: end - i, Allowed: a.Ratio*float64(n) + a.Slack}
		if f.Share() > worst.Share() {
			worst = f
			worst.ByVM, worst.ByPurpose = breakDown(list[i:end])
		}
	}
	return worst
}

// count returns how many of the ordered times lie in the window.
func count(times []time.Time, from time.Time, window time.Duration) int {
	before := func(t time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(t) })
	}
	return before(from.Add(window)) - before(from)
}

func breakDown(list []extra) (byVM map[modeler.VMName]int, byPurpose map[string]int) {
	byVM, byPurpose = map[modeler.VMName]int{}, map[string]int{}
	for _, e := range list {
		byVM[e.vm]++
		byPurpose[e.purpose]++
	}
	return byVM, byPurpose
}
