package soaker

import (
	"net/http"
	"slices"
	"time"
)

// checkServed checks that no request was refused or left without an answer, except at a VM that was restarted, which it
// may refuse from the signal until it is ready.
func (r *returnTest) checkServed() {
	for i := range r.seen {
		o := &r.seen[i]
		if o.status == http.StatusOK || o.status == http.StatusNotFound || r.restarting(o) {
			continue
		}
		r.history.addViolation("not served: %s /%s/%s: status %d, error %v, %s after the copy", o.vm.name, o.route, o.id, o.status, o.err, o.done.Sub(r.copiedAt))
	}
}

// restarting reports whether a restart of the VM was going on during the request.
func (r *returnTest) restarting(o *observation) bool {
	return slices.ContainsFunc(r.restarts[o.vm], func(x restart) bool { return o.done.After(x.from) && o.sent.Before(x.to) })
}

// checkInForce checks that each answer is one that the newest configuration allows which was acknowledged applyWithin
// before the request, or a later one. A VM that was restarted since has as long from its readiness on.
func (r *returnTest) checkInForce() {
	for i := range r.seen {
		o := &r.seen[i]
		known := o.sent.Add(-applyWithin)
		if slices.ContainsFunc(r.restarts[o.vm], func(x restart) bool { return x.from.Before(o.sent) && x.to.After(known) }) {
			known = time.Time{}
		}
		oldest := 0
		for n, c := range r.configurations {
			if !c.at.After(known) {
				oldest = n
			}
		}
		if !slices.ContainsFunc(r.configurations[oldest:], func(c acknowledged) bool { return c.allows(o) }) {
			r.history.addViolation("not in force: %s /%s/%s: status %d of service %q, %s after the copy; the configuration %d was acknowledged %s after it",
				o.vm.name, o.route, o.id, o.status, o.service, o.sent.Sub(r.copiedAt), oldest, r.configurations[oldest].at.Sub(r.copiedAt))
		}
	}
}

// checkOrder checks that no process answers as only an older configuration allows, once it has answered as only a newer
// one allows.
func (r *returnTest) checkOrder() {
	for i := range r.seen {
		o := &r.seen[i]
		if o.startCount < 0 {
			continue
		}
		last := r.lastAllowing(o)
		for j := range r.seen {
			p := &r.seen[j]
			if p.vm == o.vm && p.startCount == o.startCount && p.done.Before(o.sent) && r.firstAllowing(p) > last {
				r.history.addViolation("went back: %s /%s/%s: status %d of service %q, %s after the copy, but /%s/%s had status %d of service %q",
					o.vm.name, o.route, o.id, o.status, o.service, o.sent.Sub(r.copiedAt), p.route, p.id, p.status, p.service)
				break
			}
		}
	}
}

// firstAllowing returns the position of the first configuration that allows the answer, and 0 if none does.
func (r *returnTest) firstAllowing(o *observation) int {
	return max(0, slices.IndexFunc(r.configurations, func(c acknowledged) bool { return c.allows(o) }))
}

// lastAllowing returns the position of the last configuration that allows the answer.
func (r *returnTest) lastAllowing(o *observation) int {
	for n := len(r.configurations) - 1; n > 0; n-- {
		if r.configurations[n].allows(o) {
			return n
		}
	}
	return 0
}

// checkLeft checks that no request reaches the searchers later than drainWithin after they left.
func (r *returnTest) checkLeft(leaving []*replica, left time.Time) {
	for _, x := range leaving {
		for _, run := range x.Runs() {
			if since := run.At.Sub(left); since > drainWithin {
				r.history.addViolation("sent to searcher %s that left: %s from %s, %s after it left, %s after the copy", x.ID, run.ID, run.From, since, run.At.Sub(r.copiedAt))
			}
		}
	}
}
