package scatterer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
)

// fleetLoad is a load on a fleet of VMs, played in simulated time with the decisions of the tier: planner.Picker,
// gatherer.Query, limiter.Windows and the health of searchers. Each failure domain is a region of its own and has one
// searcher of each service.
type fleetLoad struct {
	vms, shards   int
	kinds         []fleetKind
	slots         int
	pause         time.Duration // of a searcher, once in pausePeriod
	pausePeriod   time.Duration
	slowFrom      time.Duration
	slowUntil     time.Duration
	slowSearchers int // each of another shard
	slowFactor    float64
	duration      time.Duration
	announceTime  time.Duration // that an announcement takes to reach all VMs; 0 if VMs announce nothing
	equalShares   bool          // all hedges may use the same part of the allowance
}

// fleetKind is one kind of query over all shards.
type fleetKind struct {
	name      string
	rate      float64 // per second, over the fleet
	work      time.Duration
	objective time.Duration
	coverage  float64
}

const (
	fleetDomains   = 3
	fleetLinkDelay = 12 * time.Millisecond // one way, between two failure domains
	fleetLimit     = 1500 * time.Millisecond
)

// fleetOutcome counts the queries that began in a span of time.
type fleetOutcome struct{ queries, late, partial int }

// fleet is the state of one play of a load.
type fleet struct {
	fleetLoad
	random    *rand.Rand
	start     time.Time
	now       time.Time
	events    fleetEvents
	vms       []*fleetVM
	searchers []fleetSearcher // in the order of the views
	outcomes  map[string]*fleetOutcome
}

type fleetVM struct {
	view     *planner.View
	snapshot *planner.Snapshot
	windows  *limiter.Windows
	domain   string
}

type fleetSearcher struct {
	freeAt []time.Time // by slot
	slow   bool
	phase  time.Duration // of the pauses
}

type fleetEvent struct {
	at  time.Time
	run func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (f *fleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), run})
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%fleetDomains) }

func newFleet(load fleetLoad) *fleet {
	f := &fleet{fleetLoad: load, random: rand.New(rand.NewPCG(1, 2)), outcomes: map[string]*fleetOutcome{}, start: time.Now()}
	c := modeler.Configuration{}
	snapshot := planner.Snapshot{}
	for i := range load.shards {
		s := modeler.Service{Name: modeler.ServiceName(fmt.Sprintf("desk-%d", i)), Contract: modeler.Contract{Slots: load.slots}}
		for d := range fleetDomains {
			s.Searchers = append(s.Searchers, modeler.Searcher{
				Name: modeler.SearcherName(fmt.Sprintf("desk-%d-%d", i, d)), FailureDomain: modeler.FailureDomain(domainName(d)),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(i), 1}), 80),
			})
			f.searchers = append(f.searchers, fleetSearcher{
				freeAt: make([]time.Time, load.slots),
				slow:   i < load.slowSearchers && d == i%fleetDomains,
				phase:  time.Duration(f.random.Float64() * float64(load.pausePeriod)),
			})
		}
		c.Services = append(c.Services, s)
		snapshot.Shards = append(snapshot.Shards, planner.Shard{Name: modeler.ShardName(s.Name), Service: int32(i), Documents: 1})
	}
	allowance := limiter.Allowance{Ratio: 0.2, Slack: 2.5 * float64(load.vms), Window: 10 * time.Second}
	for i := range load.vms {
		var links []modeler.Link
		for d := range fleetDomains {
			if domainName(d) != domainName(i) {
				links = append(links, modeler.Link{From: modeler.FailureDomain(domainName(i)), To: modeler.FailureDomain(domainName(d)), Delay: modeler.Duration{Duration: fleetLinkDelay}})
			}
		}
		f.vms = append(f.vms, &fleetVM{
			view:     planner.NewView(modeler.Position{Revision: 1}, modeler.FailureDomain(domainName(i)), links, []modeler.Configuration{c}, observer.NewObserver(observer.WithPauses())),
			snapshot: &snapshot, domain: domainName(i),
			windows: limiter.NewWindows(allowance, func() int { return load.vms }, limiter.WithStart(f.start)),
		})
	}
	f.now = f.start
	return f
}

// play plays the whole load and returns the outcomes by kind and by failure domain, of the queries that began from the
// given time on until the slowness ends.
func (f *fleet) play(from time.Duration) map[string]*fleetOutcome {
	for k := range f.kinds {
		f.scheduleQueries(&f.kinds[k], from)
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
	return f.outcomes
}

func (f *fleet) scheduleQueries(k *fleetKind, from time.Duration) {
	for at := time.Duration(0); at < f.duration; {
		at += time.Duration(f.random.ExpFloat64() / k.rate * float64(time.Second))
		vm := f.vms[f.random.IntN(len(f.vms))]
		counted := at >= from && at < f.slowUntil
		heap.Push(&f.events, fleetEvent{f.start.Add(at), func() { f.startQuery(vm, k, counted) }})
	}
}

// slowAcrossShards is the load of a calm day on a fleet: 24 of 108 searchers, each of another shard, become ten times as
// slow for four seconds.
func slowAcrossShards(vms int) fleetLoad {
	return fleetLoad{
		vms: vms, shards: 36, slots: 4,
		kinds: []fleetKind{
			{"sweep", 120, 11 * time.Millisecond, 150 * time.Millisecond, 0.95},
			{"gate", 40, 3800 * time.Microsecond, 120 * time.Millisecond, 0.85},
		},
		pause: 200 * time.Millisecond, pausePeriod: 4500 * time.Millisecond,
		slowFrom: 4 * time.Second, slowUntil: 8 * time.Second, slowSearchers: 24, slowFactor: 10,
		duration: 8 * time.Second,
	}
}

// Each of 77 VMs sends a searcher two queries a second, and so finds slow searchers late. VMs that announce them must make
// fewer callers late from 0.6 s after the slowness began: at most half as many sweeps as without announcements, and at
// most 0.04 of the callers of each kind and of each failure domain.
func TestCallersOfAFleetWithSlowSearchers(t *testing.T) {
	load := slowAcrossShards(77)
	alone := newFleet(load).play(4600 * time.Millisecond)
	load.announceTime = 400 * time.Millisecond
	told := newFleet(load).play(4600 * time.Millisecond)
	for name, o := range told {
		a := alone[name]
		got, before := float64(o.late)/float64(o.queries), float64(a.late)/float64(a.queries)
		t.Logf("%s: %d queries, late %.3f (%.3f without announcements), partial %.3f (%.3f)", name, o.queries, got, before,
			float64(o.partial)/float64(o.queries), float64(a.partial)/float64(a.queries))
		if got > 0.04 {
			t.Errorf("%s: %.3f of the queries are late, want at most 0.04", name, got)
		}
		if name == "sweep" && got > before/2 {
			t.Errorf("sweep: %.3f of the queries are late, want at most half of the %.3f without announcements", got, before)
		}
	}
}

// The allowance is scarce: 36 searchers of 108 become slow, nobody announces them, and each VM may hedge a service five
// times in ten seconds. If hedges that an answer needs may use more of it than hedges that only complete an answer, fewer
// sweeps must be late, and no kind and no failure domain may have more late callers than before.
func TestHedgesGoWhereAnAnswerNeedsThem(t *testing.T) {
	load := slowAcrossShards(77)
	load.slowSearchers = 36
	load.equalShares = true
	equal := newFleet(load).play(load.slowFrom)
	load.equalShares = false
	ranked := newFleet(load).play(load.slowFrom)
	for name, o := range ranked {
		e := equal[name]
		got, before := float64(o.late)/float64(o.queries), float64(e.late)/float64(e.queries)
		t.Logf("%s: %d queries, late %.3f (%.3f with equal shares), partial %.3f (%.3f)", name, o.queries, got, before,
			float64(o.partial)/float64(o.queries), float64(e.partial)/float64(e.queries))
		if got > before {
			t.Errorf("%s: %.3f of the queries are late, %.3f with equal shares", name, got, before)
		}
		if name == "sweep" && got > 0.8*before {
			t.Errorf("sweep: %.3f of the queries are late, want at most 0.8 of the %.3f with equal shares", got, before)
		}
	}
}
