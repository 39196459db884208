package observer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against requests to a searcher that leaves or has asked for none, after its entry was missing for a while or was
// one of an earlier incarnation.
func TestWordOfASearcherOutlivesItsEntry(t *testing.T) {
	first, second := backoffStart, backoffStart.Add(time.Minute)
	services := map[modeler.ServiceName]bool{"desk": true}
	absences := map[string]func(o *Observer, a netip.AddrPort){
		"missing": func(o *Observer, _ netip.AddrPort) {
			Keep(o, func(netip.AddrPort, modeler.SearcherName) bool { return false }, services)
		},
		"of the incarnation before": func(o *Observer, a netip.AddrPort) { o.Join(a, "a", first, o.Service("desk")) },
		"of the incarnation before, then missing": func(o *Observer, a netip.AddrPort) {
			o.Join(a, "a", first, o.Service("desk"))
			Keep(o, func(netip.AddrPort, modeler.SearcherName) bool { return false }, services)
		},
	}
	for name, absence := range absences {
		t.Run(name, func(t *testing.T) {
			o := NewObserver()
			addr := netip.MustParseAddrPort("10.0.0.1:80")
			now := second.Add(time.Second)
			o.Join(addr, "a", second, o.Service("desk")).MarkLeaving(now)
			absence(o, addr)
			s := o.Join(addr, "a", second, o.Service("desk"))
			if s.MaySend(now) {
				t.Error("a searcher that leaves gets requests again")
			}
			if s = o.Join(addr, "a", second.Add(time.Minute), o.Service("desk")); !s.MaySend(now) {
				t.Error("a searcher that started again under its name counts as leaving")
			}
			s.BackOff(now, 10*time.Second)
			absence(o, addr)
			if s = o.Join(addr, "a", second.Add(time.Minute), o.Service("desk")); s.MaySend(now) || !s.MaySend(now.Add(10*time.Second)) {
				t.Error("a searcher must get no requests until the time is over for which it asked for none, and then some")
			}
			s.StateLimit(now, now, modeler.RateLimit{State: modeler.Stated, PerSecond: 3}, func(float64) limiter.QuotaPart { return limiter.QuotaPart{} }, 0)
			absence(o, addr)
			if _, _, limited := o.Join(addr, "a", second.Add(time.Minute), o.Service("desk")).Tokens(now); !limited {
				t.Error("the limit of a searcher is forgotten")
			}
		})
	}
}
