package shedder

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// queryKind is one kind of query over all shards.
type queryKind struct {
	rate       float64       // queries per second
	workTime   time.Duration // mean time that a shard's slot works on a query
	timeLimit  time.Duration // how long a query waits for its shards
	maxMissing int           // shards that may be missing from an answer
}

// simulation describes a load in simulated time: queries of all kinds, sent by VMs that share no state, to shards that
// are queues with a number of slots.
type simulation struct {
	kinds       []queryKind
	slots       []int         // number of slots by shard, two per searcher
	pause       time.Duration // length of a searcher's pause, during which it begins no work
	pausePeriod time.Duration // from the start of a searcher's pause to the start of its next
	duration    time.Duration // during which queries arrive
	vms         int
}

// query is one query under way.
type query struct {
	kind     int
	vm       int
	start    time.Duration
	leftOut  map[int]bool
	answers  []time.Duration // latency by shard, 0 until the shard answers
	answered int
}

// event is the arrival of a query, or the end of a shard's work on one.
type event struct {
	at    time.Duration
	shard int // -1 for the arrival of a query
	query *query
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// outcome counts the queries of one kind: all of them, those that enough shards answered in time, and those that all
// shards answered in time. It also counts the shards that they left out.
type outcome struct{ queries, inTime, complete, leftOut int }

// simulate runs the simulation with or without shedding, and returns the outcome for each kind of query.
func simulate(sim simulation, shedding bool) []outcome {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_800_000_000, 0)
	shedders := make([]*Shedder, sim.vms)
	for i := range shedders {
		shedders[i] = NewShedder()
	}
	names := make([]modeler.ServiceName, len(sim.slots))
	freeAt := make([][]time.Duration, len(sim.slots)) // when each slot of a shard becomes free
	for i, n := range sim.slots {
		names[i] = modeler.ServiceName("shard-" + strconv.Itoa(i))
		freeAt[i] = make([]time.Duration, n)
	}
	out := make([]outcome, len(sim.kinds))
	var events eventQueue
	for k := range sim.kinds {
		for at := time.Duration(0); at < sim.duration; {
			at += time.Duration(random.ExpFloat64() / sim.kinds[k].rate * float64(time.Second))
			heap.Push(&events, event{at, -1, &query{kind: k, vm: random.IntN(sim.vms), start: at}})
		}
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(event)
		q, now := e.query, start.Add(e.at)
		k := &sim.kinds[q.kind]
		if e.shard >= 0 {
			q.answers[e.shard] = e.at - q.start
			q.answered++
			shedders[q.vm].Observe(now, names[e.shard], e.at-q.start, k.timeLimit)
			countOutcome(&out[q.kind], q, k, len(names))
			continue
		}
		q.leftOut = map[int]bool{}
		if shedding {
			for _, i := range shedders[q.vm].LeaveOut(now, names, k.maxMissing) {
				q.leftOut[i] = true
			}
		}
		q.answers = make([]time.Duration, len(names))
		out[q.kind].queries++
		out[q.kind].leftOut += len(q.leftOut)
		for i := range names {
			if !q.leftOut[i] {
				heap.Push(&events, event{sim.serve(freeAt[i], i, e.at, time.Duration((0.65+0.7*random.Float64())*float64(k.workTime))), i, q})
			}
		}
	}
	return out
}

// serve queues work at the slot of a shard that can begin it first, and returns when the work ends. Slots 2n and
// 2n+1 belong to one searcher. Searchers are numbered over all shards, three per shard, and afterPause gives each its own
// times of pause, so that a slot of a searcher that does not pause is usually chosen.
func (sim *simulation) serve(freeAt []time.Duration, shard int, at, work time.Duration) time.Duration {
	best, earliest := 0, time.Duration(0)
	for i := range freeAt {
		start := sim.afterPause(max(at, freeAt[i]), shard*3+i/2)
		if i == 0 || start < earliest {
			best, earliest = i, start
		}
	}
	freeAt[best] = earliest + work
	return freeAt[best]
}

// afterPause returns the earliest time from at on at which a searcher does not pause. The pauses of a searcher begin a
// seventh of the pause period earlier than those of the searcher with the previous number.
func (sim *simulation) afterPause(at time.Duration, searcher int) time.Duration {
	phase := (at + time.Duration(searcher)*sim.pausePeriod/7) % sim.pausePeriod
	if phase < sim.pause {
		return at + sim.pause - phase
	}
	return at
}

// countOutcome is called after each answer. It counts the query as in time once just enough of its shards have
// answered, and as complete once all have, provided that all answers so far were in time.
func countOutcome(o *outcome, q *query, k *queryKind, shards int) {
	if q.answered != shards-k.maxMissing && q.answered != shards {
		return
	}
	inTime := 0
	for _, t := range q.answers {
		if t > 0 && t <= k.timeLimit {
			inTime++
		}
	}
	if q.answered == shards-k.maxMissing && inTime == q.answered {
		o.inTime++
	}
	if q.answered == shards && inTime == shards {
		o.complete++
	}
}

// stallwardLoad returns a simulation of the organisation Stallward's load: its sweeps (kind 0) and gate checks (kind 1)
// on ten shards. Each shard has three searchers with two slots each, six in all, unless slots gives the number for the
// first shards.
func stallwardLoad(slots ...int) simulation {
	sim := simulation{
		kinds: []queryKind{
			{149, 11 * time.Millisecond, 128 * time.Millisecond, 1},
			{50, 3800 * time.Microsecond, 78 * time.Millisecond, 2},
		},
		slots: []int{6, 6, 6, 6, 6, 6, 6, 6, 6, 6},
		pause: 200 * time.Millisecond, pausePeriod: 4500 * time.Millisecond, duration: 30 * time.Second, vms: 8,
	}
	copy(sim.slots, slots)
	return sim
}

func share(n, total int) float64 { return float64(n) / float64(max(1, total)) }

// On Stallward's heaviest day, one, two or three of the ten shards have lost two of their three searchers. The capacity
// of the remaining one is then only slightly above the mean load: the queries need 1.83 slot-seconds per second, and its
// two slots have 1.91 outside the pauses. With one such shard, shedding must not make more sweeps late; with two or
// three, it must halve the late sweeps. It may lower the share of gate checks in time by at most 0.02.
func TestCallersOfOverloadedShards(t *testing.T) {
	tests := []struct {
		name  string
		slots []int
		late  float64 // highest share of late sweeps, relative to the share without shedding
	}{
		{"one shard overloaded", []int{2}, 1},
		{"two shards overloaded", []int{2, 2}, 0.5},
		{"three shards overloaded", []int{2, 2, 2}, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := simulate(stallwardLoad(tt.slots...), true), simulate(stallwardLoad(tt.slots...), false)
			for k := range with {
				a, b := share(with[k].inTime, with[k].queries), share(without[k].inTime, without[k].queries)
				t.Logf("kind %d: share of queries in time %.3f, without shedding %.3f; shards left out per query %.2f", k, a, b, share(with[k].leftOut, with[k].queries))
				if k == 0 && 1-a > tt.late*(1-b) {
					t.Errorf("share of sweeps in time is %.3f, too low compared to %.3f without shedding", a, b)
				}
				if k > 0 && a < b-0.02 {
					t.Errorf("kind %d: share of queries in time is %.3f, too low compared to %.3f without shedding", k, a, b)
				}
			}
		})
	}
}

// The same load on shards with all of their searchers, which pause at different times. Pauses must not be taken for
// overload.
func TestNothingIsLeftOutWithoutNeed(t *testing.T) {
	with, without := simulate(stallwardLoad(), true), simulate(stallwardLoad(), false)
	for k := range with {
		if n := share(with[k].leftOut, with[k].queries); n > 0.01 {
			t.Errorf("kind %d: %.3f shards left out per query although none is overloaded, want at most 0.01", k, n)
		}
		if a, b := share(with[k].complete, with[k].queries), share(without[k].complete, without[k].queries); a < b-0.01 {
			t.Errorf("kind %d: share of complete answers is %.3f, too low compared to %.3f without shedding", k, a, b)
		}
	}
}
