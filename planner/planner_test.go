package planner

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

var epoch = time.Unix(1_800_000_000, 0)

func testConfiguration(services, shards int) modeler.Configuration {
	c := modeler.Configuration{Teams: []modeler.Team{{Name: "t", Urgent: []modeler.IndexName{"x"}}}}
	addr := netip.MustParseAddr("10.0.0.1")
	for i := range services {
		s := modeler.Service{Name: modeler.ServiceName(fmt.Sprintf("s-%04d", i)), Team: "t", Contract: modeler.Contract{Slots: 2, Connections: 25}}
		for k := range 3 {
			s.Searchers = append(s.Searchers, modeler.Searcher{
				Name:    modeler.SearcherName(fmt.Sprintf("s-%04d-%d", i, k)),
				Address: netip.AddrPortFrom(addr, 7000), FailureDomain: modeler.FailureDomain(fmt.Sprintf("d-%d", k)),
			})
			addr = addr.Next()
		}
		c.Services = append(c.Services, s)
	}
	for id := modeler.SnapshotID(1); id <= 2; id++ {
		s := modeler.Snapshot{ID: id}
		for i := range shards {
			s.Shards = append(s.Shards, modeler.Shard{Name: modeler.ShardName(fmt.Sprintf("h-%d", i)), Service: c.Services[i%services].Name, Documents: 10})
		}
		if id == 1 {
			c.Indexes = []modeler.Index{{Name: "x", Team: "t"}}
		}
		c.Indexes[0].Snapshots = append(c.Indexes[0].Snapshots, s)
	}
	return c
}

func newTestView(services, shards int) (*View, *Index, *observer.Observer) {
	o := observer.NewObserver()
	v := NewView(modeler.Position{Revision: 1}, "d-0", nil, []modeler.Configuration{testConfiguration(services, shards)}, o)
	x, _ := v.Index("x")
	return v, x, o
}

func TestPin(t *testing.T) {
	v, x, o := newTestView(2, 4)
	hold := func(r int, ids ...modeler.SnapshotID) { v.Searchers[r].Health.SetSnapshots("x", ids) }
	pin := func() modeler.SnapshotID { return v.Pin(x, epoch, o.Generation(), 0).ID }
	if got := pin(); got != 2 {
		t.Errorf("Pin chose snapshot %d while the holdings of all searchers are unknown, want 2, the newest", got)
	}
	for r := range 6 {
		hold(r, 1)
	}
	if got := pin(); got != 1 {
		t.Errorf("Pin chose snapshot %d while no searcher holds 2, want 1", got)
	}
	hold(0, 1, 2)
	if got := pin(); got != 1 {
		t.Errorf("Pin chose snapshot %d while one service lacks 2, want 1", got)
	}
	hold(4, 2)
	if got := pin(); got != 2 {
		t.Errorf("Pin chose snapshot %d while a searcher of each service holds 2, want 2", got)
	}
	if got := v.Pin(x, epoch, o.Generation(), 2); got != nil {
		t.Errorf("Pin chose snapshot %d although none is newer than 2, want nil", got.ID)
	}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name    string
		change  func(v *View)
		tried   []int32
		allowed []int32
	}{
		{name: "any replica", allowed: []int32{0, 1, 2}},
		{name: "tried replicas are skipped", tried: []int32{0, 2}, allowed: []int32{1}},
		{name: "all replicas tried", tried: []int32{0, 1, 2}},
		{name: "draining replica is skipped", change: func(v *View) { v.Searchers[1].Health.MarkDraining(epoch) }, tried: []int32{0}, allowed: []int32{2}},
		{name: "replica without the snapshot is skipped", change: func(v *View) { v.Searchers[0].Health.SetSnapshots("x", []modeler.SnapshotID{1}) }, allowed: []int32{1, 2}},
		{name: "ejected replica is skipped", change: func(v *View) { eject(v, 0) }, allowed: []int32{1, 2}},
		{name: "ejected replicas are used if most are ejected", change: func(v *View) { eject(v, 0); eject(v, 1) }, allowed: []int32{0, 1, 2}},
		{name: "slow replica loses every comparison", change: func(v *View) {
			v.Searchers[0].Health.Begin(epoch)
			v.Searchers[0].Health.Answered(epoch, time.Second)
		}, allowed: []int32{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, x, _ := newTestView(1, 1)
			if tt.change != nil {
				tt.change(v)
			}
			calls := 0
			p := Picker{View: v, Index: "x", Snapshot: &x.Snapshots[1], Random: func(n int) int {
				calls++
				return calls * 7 % n
			}}
			var got []int32
			for range 30 {
				if r, ok := p.Pick(epoch, 0, tt.tried); ok && !slices.Contains(got, r) {
					got = append(got, r)
				}
			}
			slices.Sort(got)
			for _, r := range got {
				if !slices.Contains(tt.allowed, r) {
					t.Errorf("picked searchers %v in 30 calls, allowed are only %v", got, tt.allowed)
				}
			}
			if (len(got) == 0) != (len(tt.allowed) == 0) {
				t.Errorf("picked searchers %v in 30 calls, allowed are %v", got, tt.allowed)
			}
		})
	}
}

// The first attempts of a query use at least two failure domains even if the cheapest searchers are all in one. Only a
// query over one shard, or one for which the searchers of all other domains drain, uses a single domain.
func TestFirstAttemptsSpreadOverFailureDomains(t *testing.T) {
	for _, tt := range []struct {
		name   string
		shards int
		drain  bool // the searchers outside the nearest domain drain
		want   int  // least number of domains used
	}{
		{"many shards", 8, false, 2},
		{"two shards", 2, false, 2},
		{"one shard", 1, false, 1},
		{"all other domains drain", 4, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v, x, _ := newTestView(tt.shards, tt.shards)
			near := v.Searchers[0].Domain
			for i := range v.Searchers {
				s := &v.Searchers[i]
				if s.Domain != near {
					s.RoundTrip = time.Second
				}
				if tt.drain && s.Domain != near {
					s.Health.MarkDraining(epoch)
				}
			}
			for seed := range 50 {
				p := Picker{
					View: v, Index: "x", Snapshot: &x.Snapshots[1], Spread: NewSpread(tt.shards),
					Random: func(n int) int { seed += 7; return seed * 7919 % n },
				}
				domains := map[int32]bool{}
				for shard := range int32(tt.shards) {
					r, ok := p.Pick(epoch, shard, nil)
					if !ok {
						t.Fatal("no replica was picked")
					}
					domains[v.Searchers[r].Domain] = true
				}
				if len(domains) < tt.want || (tt.drain && len(domains) > 1) {
					t.Fatalf("first attempts use failure domains %v, fewer than wanted, or one whose searchers drain", domains)
				}
			}
		})
	}
}

// eject ejects a searcher by an attempt that could not reach it.
func eject(v *View, r int) {
	v.Searchers[r].Health.Begin(epoch)
	v.Searchers[r].Health.Failed(epoch, true)
}

func TestRankKeepsOwnersThatAreAlive(t *testing.T) {
	var vms []modeler.VMName
	for i := range 100 {
		vms = append(vms, modeler.VMName(fmt.Sprintf("entry-%d", i)))
	}
	moved := 0
	const keys = 500
	for k := range keys {
		key := fmt.Sprintf("bucket-%d", k)
		before := Rank(key, vms, 3)
		after := Rank(key, vms[:99], 3)
		for _, v := range before {
			if v != vms[99] && !slices.Contains(after, v) {
				t.Errorf("%s no longer has owner %s, which is still alive", key, v)
			}
		}
		if slices.Contains(before, vms[99]) {
			moved++
		}
	}
	// With 3 owners, a VM of 100 owns 0.03 of the keys on average. The bound is twice that.
	if share := float64(moved) / keys; share > 0.06 {
		t.Errorf("the loss of one VM of 100 changed the owners of %.3f of the keys with 3 owners, want at most 0.06", share)
	}
}

func TestOwnersMatchRank(t *testing.T) {
	var vms []modeler.VMName
	for i := range 60 {
		vms = append(vms, modeler.VMName(fmt.Sprintf("entry-%d", i)))
	}
	o := NewOwners(4)
	for round, first := range []int{0, 5, 2, 30, 0, 59, 10} {
		o.Set(vms[first:])
		for k := range 40 {
			bucket := fmt.Sprintf("bucket-%d", k)
			if got, want := o.Of(bucket), Rank(bucket, vms[first:], 4); !slices.Equal(got, want) {
				t.Fatalf("round %d: owners of %s are %v, want %v", round, bucket, got, want)
			}
		}
	}
}

func TestBucketOf(t *testing.T) {
	for name, want := range map[modeler.ServiceName]string{"desk-01": "desk-0", "desk-15": "desk-0", "desk-16": "desk-1", "portal": "portal", "9": "0"} {
		if got := BucketOf(name); got != want {
			t.Errorf("BucketOf(%s) = %s, want %s", name, got, want)
		}
	}
}

// BenchmarkOwners measures the loss and return of one VM in a fleet of 3,100, with the 1,584 buckets of 25,333 services.
func BenchmarkOwners(b *testing.B) {
	var vms []modeler.VMName
	for i := range 3100 {
		vms = append(vms, modeler.VMName(fmt.Sprintf("entry-%d", i)))
	}
	o := NewOwners(4)
	o.Set(vms)
	const buckets = 1584
	for k := range buckets {
		o.Of(fmt.Sprintf("bucket-%d", k))
	}
	for b.Loop() {
		o.Set(vms[1:])
		o.Set(vms)
		for k := range buckets {
			o.Of(fmt.Sprintf("bucket-%d", k))
		}
	}
}

// BenchmarkView measures the time to build a view and its memory per searcher.
func BenchmarkView(b *testing.B) {
	for _, services := range []int{28, 2533, 25333} {
		b.Run(fmt.Sprintf("searchers-%d", 3*services), func(b *testing.B) {
			c := testConfiguration(services, 1000)
			o := observer.NewObserver()
			var v *View
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v = NewView(modeler.Position{Revision: 1}, "d-0", nil, []modeler.Configuration{c}, o)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				v = NewView(modeler.Position{Revision: 1}, "d-0", nil, []modeler.Configuration{c}, o)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(v.Searchers)), "bytes/searcher")
		})
	}
}

// BenchmarkPlan measures the time per shard to pin a snapshot and pick replicas for a query over 1,000 shards.
func BenchmarkPlan(b *testing.B) {
	v, x, o := newTestView(1000, 1000)
	p := Picker{View: v, Index: "x", Snapshot: &x.Snapshots[1], Random: func(n int) int { return n / 2 }}
	for b.Loop() {
		v.Pin(x, epoch, o.Generation(), 0)
		for shard := range int32(1000) {
			p.Pick(epoch, shard, nil)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*1000), "ns/shard")
}

// BenchmarkPick measures the choice of a searcher among three, as on a route.
func BenchmarkPick(b *testing.B) {
	v, x, _ := newTestView(40, 40)
	p := Picker{View: v, Index: x.Name, Snapshot: &x.Snapshots[1], Random: func(n int) int { return n / 2 }, StallLimit: 30 * time.Millisecond}
	shard := int32(0)
	for b.Loop() {
		if _, ok := p.Pick(epoch, shard, nil); !ok {
			b.Fatal("no searcher")
		}
		shard = (shard + 1) % 40
	}
}
