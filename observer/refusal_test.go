package observer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// The load: most searchers of a service refuse six in ten of what they get, quickly; one refuses nothing but is slower, for it gets more.
func TestSearchersThatRefuseCostMore(t *testing.T) {
	o := NewObserver(WithPauses())
	service := o.Service("desk")
	now := time.Unix(1_800_000_000, 0)
	refusing, busy := newTestSearcher(o, 1, service), newTestSearcher(o, 2, service)
	for i := range 30 {
		now = now.Add(20 * time.Millisecond)
		refusing.Begin(now)
		if i%5 < 3 {
			refusing.Shed(now)
		} else {
			refusing.Answered(now, 10*time.Millisecond)
		}
		busy.Begin(now)
		busy.Answered(now, 30*time.Millisecond)
	}
	if a, b := refusing.Cost(now, 2, 0), busy.Cost(now, 2, 0); a <= b {
		t.Errorf("the searcher that refuses costs %.1f ms, the busy one %.1f ms", a/1e6, b/1e6)
	}
	if r := refusing.refusalShare(now); r < 0.3 || r > 0.9 {
		t.Errorf("refuses six in ten, expected %.2f", r)
	}
	if r := refusing.refusalShare(now.Add(5 * RefusalDecay)); r > 0.01 {
		t.Errorf("refusals are not forgotten: %.2f", r)
	}
	if r := busy.refusalShare(now); r != 0 {
		t.Errorf("the busy one refuses nothing, expected %.2f", r)
	}
}

func newTestSearcher(o *Observer, n byte, service *Service) *Searcher {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	return o.Join(a, modeler.SearcherName([]byte{'i', n}), time.Time{}, service)
}
