package runner

import (
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// exclusions holds the searchers that leave or have asked for no requests, until the end of that is logged.
type exclusions struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]exclusion
}

// exclusion says since when a searcher gets no requests, and the reason that it gave.
type exclusion struct {
	searcher modeler.SearcherName
	reason   string
	since    time.Time
}

func (l *exclusions) add(s *planner.Searcher, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = map[netip.AddrPort]exclusion{}
	}
	l.byAddress[s.Address] = exclusion{s.Name, reason, time.Now()}
}

// takeEnded removes and returns the searchers that the view no longer has or that may get requests again.
func (l *exclusions) takeEnded(now time.Time, view *planner.View) map[netip.AddrPort]exclusion {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := map[netip.AddrPort]exclusion{}
	for a, x := range l.byAddress {
		if s := view.Find(a, x.searcher); s != nil && (s.Health.Draining(now) || s.Health.BackingOff(now)) {
			continue
		}
		ended[a] = x
		delete(l.byAddress, a)
	}
	return ended
}

// reportBackoff logs that a searcher has asked for no requests during the given time.
func (v *VM) reportBackoff(s *planner.Searcher, d time.Duration) {
	v.counter("searchers.backoffs").Inc(1)
	klog.InfoS("searcher: asks for no requests", "searcher", string(s.Name), "address", s.Address.String(), "for-ms", d.Milliseconds())
	v.exclusions.add(s, "asked for none")
}

// reportEndedExclusions logs the searchers that are no longer excluded.
func (v *VM) reportEndedExclusions(now time.Time) {
	view := v.view.Load()
	if view == nil {
		return
	}
	for a, x := range v.exclusions.takeEnded(now, view) {
		klog.InfoS("searcher: no longer excluded", "searcher", string(x.searcher), "address", a.String(), "reason", x.reason,
			"after-ms", now.Sub(x.since).Milliseconds(), "registered", view.Find(a, x.searcher) != nil)
	}
}
