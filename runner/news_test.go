package runner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// Guards against a searcher that gets no requests for a minute because news of the one that had its address comes late.
func TestLateNewsOfALeaveDoesNotConcernTheNextSearcher(t *testing.T) {
	v := &VM{observer: observer.NewObserver(), recorder: recorder.NewRecorder("a", recorder.NewClock(time.Now))}
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	now := time.Now()
	next := v.observer.Join(addr, "b", now.Add(-time.Second), v.observer.Service("desk"))
	until := now.Add(-5 * time.Second).Add(DrainingNewsTTL)
	v.handleNews(gossiper.News{Kind: gossiper.NewsDraining, Address: addr, Until: until})
	if !next.MaySend(now) {
		t.Error("the searcher counts as draining")
	}
}
