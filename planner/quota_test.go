package planner

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// limitSearcher makes a searcher take one request a second from this VM, the next one after the given wait.
func limitSearcher(v *View, r int32, wait time.Duration) {
	divide := func(float64) limiter.QuotaPart { return limiter.QuotaPart{Rate: 1, Burst: 1} }
	v.Searchers[r].Health.StateLimit(epoch, epoch, modeler.RateLimit{State: modeler.Stated, PerSecond: 1}, divide, 1-wait.Seconds())
}

func TestPickKeepsToStatedLimits(t *testing.T) {
	v, x, _ := newTestView(1, 1)
	p := Picker{View: v, Index: x.Name, Snapshot: &x.Snapshots[1], Random: func(int) int { return 0 }, StallLimit: time.Second}
	limitSearcher(v, 0, 500*time.Millisecond)
	limitSearcher(v, 1, 250*time.Millisecond)
	if r, ok := p.Pick(epoch, 0, nil); !ok || r != 2 {
		t.Errorf("Pick returned searcher %d, %v; want 2, which has no limit", r, ok)
	}
	if s, w := p.Scarcity(epoch, 0), p.Wait(epoch, 0); s != 0 || w != 0 {
		t.Errorf("scarcity is %.2f and the wait %v while one searcher has no limit, want 0", s, w)
	}
	limitSearcher(v, 2, time.Second)
	if r, ok := p.Pick(epoch, 0, nil); ok {
		t.Errorf("Pick returned searcher %d although the limits of all are used up", r)
	}
	if s := p.Scarcity(epoch, 0); s < 0.5 || s > 0.6 {
		t.Errorf("scarcity is %.2f with 1.25 of 3 requests left, want 0.58", s)
	}
	if w := p.Wait(epoch, 0); w != 250*time.Millisecond {
		t.Errorf("wait is %v, want that of searcher 1", w)
	}
	if r, ok := p.Pick(epoch.Add(250*time.Millisecond), 0, nil); !ok || r != 1 {
		t.Errorf("Pick returned searcher %d, %v after the wait; want 1", r, ok)
	}
}

func TestLessUrgentRoutesLeaveAReserve(t *testing.T) {
	c := testConfiguration(2, 1)
	c.Routes = []modeler.Route{
		{Name: "urgent", Host: "h", Prefix: "/a/", Priority: 1, Shards: []modeler.ServiceName{"s-0000", "s-0001"}},
		{Name: "ordinary", Host: "h", Prefix: "/b/", Priority: 2, Shards: []modeler.ServiceName{"s-0000"}},
		{Name: "alone", Host: "h", Prefix: "/c/", Priority: 3, Split: []modeler.Weighted{{Service: "other", Weight: 1}}},
	}
	v := NewView(modeler.Position{Revision: 1}, "d-0", nil, []modeler.Configuration{c}, observer.NewObserver())
	for path, want := range map[string]float64{"/a/": 0, "/b/": UrgentReserve, "/c/": 0} {
		if r, ok := v.Match("h", path); !ok || r.Reserve != want {
			t.Errorf("reserve of route %s is %.1f, want %.1f", path, r.Reserve, want)
		}
	}
}
