package observer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// One searcher of a service quickly refuses six in ten attempts. Another refuses none but is slower, because it gets
// more attempts. The one that refuses must still cost more.
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
		t.Errorf("refusing searcher costs %.1f ms, busy searcher %.1f ms; want the refusing one to cost more", a/1e6, b/1e6)
	}
	if r := refusing.refusalShare(now); r < 0.3 || r > 0.9 {
		t.Errorf("refusal share of a searcher that refuses six in ten attempts is %.2f, want 0.3 to 0.9", r)
	}
	if r := refusing.refusalShare(now.Add(5 * RefusalDecay)); r > 0.01 {
		t.Errorf("refusal share after 5 * RefusalDecay is %.2f, want at most 0.01", r)
	}
	if r := busy.refusalShare(now); r != 0 {
		t.Errorf("refusal share of a searcher that refuses nothing is %.2f, want 0", r)
	}
}

func newTestSearcher(o *Observer, n byte, service *Service) *Searcher {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	return o.Join(a, modeler.SearcherName([]byte{'i', n}), time.Time{}, service)
}
