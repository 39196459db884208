package runner

import (
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// backoffs holds the searchers that have asked for no requests, until the end of that time is logged.
type backoffs struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]backoff
}

type backoff struct {
	searcher modeler.SearcherName
	since    time.Time
}

// reportBackoff logs that a searcher has asked for no requests during the given time.
func (v *VM) reportBackoff(s *planner.Searcher, d time.Duration) {
	v.counter("searchers.backoffs").Inc(1)
	klog.InfoS("searcher: asks for no requests", "searcher", string(s.Name), "address", s.Address.String(), "for-ms", d.Milliseconds())
	b := &v.backoffs
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byAddress == nil {
		b.byAddress = map[netip.AddrPort]backoff{}
	}
	b.byAddress[s.Address] = backoff{s.Name, time.Now()}
}

// reportEndedBackoffs logs the searchers that may get requests again.
func (v *VM) reportEndedBackoffs(now time.Time) {
	b := &v.backoffs
	b.mu.Lock()
	defer b.mu.Unlock()
	for a, x := range b.byAddress {
		if !v.observer.Searcher(a).BackingOff(now) {
			delete(b.byAddress, a)
			klog.InfoS("searcher: may get requests again", "searcher", string(x.searcher), "address", a.String(), "after-ms", now.Sub(x.since).Milliseconds())
		}
	}
}
