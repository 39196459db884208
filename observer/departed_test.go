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

// Guards against requests to a searcher that leaves while its entry is one of an earlier incarnation, as the store has it
// after it came back from an older copy. A searcher whose time of day was set back gets requests after OlderEntryPeriod.
func TestEntryOfAnEarlierIncarnationTakesItsWord(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	now := time.Now()
	for name, say := range map[string]func(s *Searcher){
		"leaves":     func(s *Searcher) { s.MarkLeaving(now) },
		"drains":     func(s *Searcher) { s.MarkDraining(now) },
		"wants none": func(s *Searcher) { s.BackOff(now, time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			o := NewObserver()
			desk, board := o.Service("desk"), o.Service("board")
			say(o.Join(addr, "a", backoffStart, desk))
			s := o.Join(addr, "a", backoffStart.Add(-time.Minute), desk)
			if s.MaySend(now.Add(OlderEntryPeriod - time.Second)) {
				t.Error("a searcher gets requests by an entry of an earlier incarnation")
			}
			if !s.MaySend(now.Add(OlderEntryPeriod + time.Minute)) {
				t.Error("a searcher that started with an earlier time of day gets no requests")
			}
			if s = o.Join(addr, "a", backoffStart.Add(-time.Minute), board); !s.MaySend(now) {
				t.Error("a searcher of another service takes the word of the one before")
			}
		})
	}
	o := NewObserver()
	o.Join(addr, "a", backoffStart, o.Service("desk")).BackOff(now, time.Second)
	if s := o.Join(addr, "a", backoffStart.Add(-time.Minute), o.Service("desk")); !s.MaySend(now.Add(time.Second)) {
		t.Error("an entry of an earlier incarnation makes a pause longer")
	}
}
