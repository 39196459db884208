package planner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// viewWithRoutes returns a view from d-0 with routes to the service desk, which has a searcher in each of three failure
// domains, and to the service board, which has none. The delay from d-0 to each of the two other domains is 20 ms.
func viewWithRoutes() *View {
	c := modeler.Configuration{Services: []modeler.Service{{Name: "desk", Contract: modeler.Contract{Slots: 2, Connections: 26}}, {Name: "board"}}}
	for i, d := range []modeler.FailureDomain{"d-0", "d-1", "d-2"} {
		c.Registrations = append(c.Registrations, modeler.Registration{
			Service: "desk", Slots: 2,
			Searcher: modeler.Searcher{Name: modeler.SearcherName("s-" + string(d)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), FailureDomain: d},
		})
	}
	route := func(name, prefix string, split ...modeler.Weighted) modeler.Route {
		return modeler.Route{Name: modeler.RouteName(name), Host: "h", Prefix: prefix, Split: split}
	}
	c.Routes = []modeler.Route{
		route("all", "/", modeler.Weighted{Service: "desk", Weight: 1}),
		route("long", "/a/b/", modeler.Weighted{Service: "desk", Weight: 3}, modeler.Weighted{Service: "board", Weight: 1}),
		route("short", "/a/", modeler.Weighted{Service: "desk", Weight: 1}),
	}
	links := LinksFrom("d-0", map[modeler.FailureDomain]string{"d-0": "r-0", "d-1": "r-1", "d-2": "r-2"})
	return NewView(modeler.Position{Revision: 1}, "d-0", links, []modeler.Configuration{c}, observer.NewObserver(observer.WithPauses()))
}

func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	v := viewWithRoutes()
	for path, want := range map[string]modeler.RouteName{"/a/b/x": "long", "/a/x": "short", "/a/b": "short", "/x": "all", "/a": "all"} {
		if r, ok := v.Match("h", path); !ok || r.Name != want {
			t.Errorf("path %s matched route %s, not the one with the longest prefix", path, r.Name)
		}
	}
	if _, ok := v.Match("other", "/a/x"); ok {
		t.Error("a path matched a route of another host")
	}
}

// A route with a split of 3 to 1 must send requests to its services in that proportion.
func TestChooseFollowsTheWeights(t *testing.T) {
	v := viewWithRoutes()
	r, _ := v.Match("h", "/a/b/x")
	const n = 1000
	board := 0
	for i := range n {
		if r.Choose(float64(i) / n).Shards[0].Name == "board" {
			board++
		}
	}
	if board != n/4 {
		t.Errorf("%d of %d requests go to the service with a quarter of the weight", board, n)
	}
}

func TestPickOnARoute(t *testing.T) {
	const stallLimit = 30 * time.Millisecond
	tests := []struct {
		name    string
		change  func(v *View)
		allowed map[modeler.SearcherName]bool
	}{
		{"nearest searcher", func(*View) {}, map[modeler.SearcherName]bool{"s-d-0": true}},
		{"stalled searcher is avoided", func(v *View) { v.Searchers[0].Health.Begin(epoch.Add(-stallLimit - 1)) }, map[modeler.SearcherName]bool{"s-d-1": true, "s-d-2": true}},
		{"leaving searcher is avoided", func(v *View) { v.Searchers[0].Health.SetUsableUntil(epoch.Add(time.Second)) }, map[modeler.SearcherName]bool{"s-d-1": true, "s-d-2": true}},
		{"leaving searcher is used if all others drain", func(v *View) {
			v.Searchers[0].Health.SetUsableUntil(epoch.Add(time.Second))
			v.Searchers[1].Health.MarkDraining(epoch)
			v.Searchers[2].Health.MarkDraining(epoch)
		}, map[modeler.SearcherName]bool{"s-d-0": true}},
		{"searchers that have left are not used", func(v *View) {
			for i := range v.Searchers {
				v.Searchers[i].Health.SetUsableUntil(epoch)
			}
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := viewWithRoutes()
			tt.change(v)
			r, _ := v.Match("h", "/x")
			for i := range 40 {
				p := Picker{View: v, Index: r.Index.Name, Snapshot: r.Choose(0), Random: func(n int) int { return i * 7919 % n }, StallLimit: stallLimit}
				n, ok := p.Pick(epoch, 0, nil)
				if ok != (tt.allowed != nil) || (ok && !tt.allowed[v.Searchers[n].Name]) {
					t.Fatalf("Pick returned (%d, %v), which this case does not allow", n, ok)
				}
			}
		})
	}
}

func TestPickPrefersAnOpenConnection(t *testing.T) {
	v := viewWithRoutes()
	r, _ := v.Match("h", "/x")
	p := Picker{View: v, Index: r.Index.Name, Snapshot: r.Choose(0), Random: func(int) int { return 0 }, StallLimit: time.Second, ConnectionNeed: func(n int32) ConnectionNeed {
		if n == 2 {
			return HasConnection
		}
		return NeedsConnection
	}}
	if n, _ := p.Pick(epoch, 0, []int32{0}); n != 2 {
		t.Errorf("picked searcher %d, want 2, the one with an open connection", n)
	}
}

// The nearest searcher resets new connections because other VMs hold all the connections that it allows. It must not be
// picked unless this VM has an open connection to it, or all searchers are at their limit.
func TestPickAvoidsASearcherThatResetsNewConnections(t *testing.T) {
	tests := []struct {
		name  string
		needs []ConnectionNeed // by searcher; the first is the nearest
		want  int32
	}{
		{"a farther searcher accepts new connections", []ConnectionNeed{NeedsConnectionAtLimit, NeedsConnection, NeedsConnectionAtLimit}, 1},
		{"a farther searcher has an open connection", []ConnectionNeed{NeedsConnectionAtLimit, NeedsConnectionAtLimit, HasConnection}, 2},
		{"the nearest has an open connection", []ConnectionNeed{HasConnection, NeedsConnection, NeedsConnection}, 0},
		{"all searchers are at their limit", []ConnectionNeed{NeedsConnectionAtLimit, NeedsConnectionAtLimit, NeedsConnectionAtLimit}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := viewWithRoutes()
			r, _ := v.Match("h", "/x")
			for i := range 3 {
				v.Searchers[i].RoundTrip = time.Duration(1+20*i) * time.Millisecond
			}
			p := Picker{View: v, Index: r.Index.Name, Snapshot: r.Choose(0), Random: func(int) int { return 0 }, StallLimit: time.Second, ConnectionNeed: func(n int32) ConnectionNeed { return tt.needs[n] }}
			if n, ok := p.Pick(epoch, 0, nil); !ok || n != tt.want {
				t.Errorf("picked searcher %d, want %d", n, tt.want)
			}
		})
	}
}
