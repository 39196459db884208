package scatterer

import (
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/planner"
)

// fleetQuery is one query under way on a VM.
type fleetQuery struct {
	f         *fleet
	vm        *fleetVM
	kind      *fleetKind
	q         *gatherer.Query
	startedAt time.Time
	half      time.Duration
	counted   bool
}

func (f *fleet) startQuery(vm *fleetVM, k *fleetKind, counted bool) {
	r := &fleetQuery{f: f, vm: vm, kind: k, startedAt: f.now, counted: counted}
	plan := gatherer.Plan{
		Deadline: f.now.Add(fleetLimit), Patience: f.now.Add(k.objective - 22*time.Millisecond), LeastCoverage: k.coverage,
		Probes: gatherer.CanaryProbes, MaxRuns: 3, FailFast: true, ChargeEveryRetry: true, KnownGood: true,
	}
	for _, s := range vm.snapshot.Shards {
		plan.Shards = append(plan.Shards, gatherer.Shard{Name: s.Name, Documents: 1})
		vm.windows.Earn(f.now, vm.view.Services[s.Service].Name)
	}
	picker := planner.Picker{View: vm.view, Snapshot: vm.snapshot, Random: f.random.IntN, StallLimit: StallLimit}
	r.q = gatherer.NewQuery(plan, gatherer.Hooks{
		Pick: picker.Pick,
		Spend: func(now time.Time, shard int32, p gatherer.Purpose) bool {
			share := allowanceShare(p, f.shards, f.shards-r.q.AnsweredShards(), maxMissing(f.shards, k.coverage))
			if f.equalShares && p != gatherer.Retry {
				share = limiter.NonRetryShare
			}
			return vm.windows.Spend(now, vm.view.Services[shard].Name, share)
		},
		HedgeAfter: func(shard int32) time.Duration { return vm.view.Services[shard].Health.HedgeAfterTypical() },
		Hold:       func(bool) bool { return false },
		Matches:    func(_, _ gatherer.Claim) bool { return true },
	})
	r.handle(&gatherer.Event{Kind: gatherer.EventStart})
}

func (r *fleetQuery) handle(ev *gatherer.Event) {
	wasDone := r.q.Done()
	for _, a := range r.q.Handle(r.f.now, ev, nil) {
		if a.Kind == gatherer.ActionSend {
			r.send(a)
		}
	}
	if r.half == 0 && 2*r.q.AnsweredShards() >= r.f.shards {
		r.half = r.f.now.Sub(r.startedAt)
	}
	if r.q.Done() {
		if !wasDone {
			r.count()
		}
		return
	}
	if next := r.q.NextTick(r.f.now); ev.Kind != gatherer.EventAnswer {
		r.f.after(max(0, next.Sub(r.f.now)), func() {
			if !r.q.Done() {
				r.handle(&gatherer.Event{Kind: gatherer.EventTick})
			}
		})
	}
}

func (r *fleetQuery) count() {
	if !r.counted {
		return
	}
	for _, key := range []string{r.kind.name, r.vm.domain} {
		o := r.f.outcomes[key]
		if o == nil {
			o = &fleetOutcome{}
			r.f.outcomes[key] = o
		}
		o.queries++
		if r.f.now.Sub(r.startedAt) > r.kind.objective {
			o.late++
		}
		if r.q.AnsweredShards() < r.f.shards {
			o.partial++
		}
	}
}

// send plays an attempt: the way to the searcher, its queue and work, and the way back.
func (r *fleetQuery) send(a gatherer.Action) {
	s := &r.vm.view.Searchers[a.Searcher]
	s.Health.Begin(r.f.now)
	sent := r.f.now
	r.f.after(s.RoundTrip/2, func() {
		end := r.f.serve(int(a.Searcher), r.kind.work)
		r.f.after(end.Sub(r.f.now)+s.RoundTrip/2, func() { r.answer(a, s, sent) })
	})
}

func (r *fleetQuery) answer(a gatherer.Action, s *planner.Searcher, sent time.Time) {
	took := r.f.now.Sub(sent)
	s.Health.Answered(r.f.now, took)
	if a.Purpose == gatherer.Primary {
		r.vm.view.Services[s.Service].Health.Record(took)
	}
	s.Health.CompareServiceTime(r.f.now, sent, took-s.RoundTrip, r.half)
	if until, slow := s.Health.TakeSlow(r.f.now); slow && r.f.announceTime > 0 {
		r.f.announce(a.Searcher, until)
	}
	if !r.q.Done() {
		r.handle(&gatherer.Event{Kind: gatherer.EventAnswer, Attempt: a.Attempt, Claim: gatherer.Claim{Documents: 1}})
	}
}

func (f *fleet) announce(searcher int32, until time.Time) {
	for _, vm := range f.vms {
		f.after(time.Duration(f.random.Float64()*float64(f.announceTime)), func() {
			vm.view.Searchers[searcher].Health.ReportSlow(f.now, until, f.random.Float64())
		})
	}
}

// serve queues work at a searcher and returns when it ends.
func (f *fleet) serve(searcher int, work time.Duration) time.Time {
	s := &f.searchers[searcher]
	best := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[best]) {
			best = i
		}
	}
	begin := f.now
	if s.freeAt[best].After(begin) {
		begin = s.freeAt[best]
	}
	if phase := (begin.Sub(f.start) + s.phase) % f.pausePeriod; phase < f.pause {
		begin = begin.Add(f.pause - phase)
	}
	took := (0.6 + 0.8*f.random.Float64()) * float64(work)
	if at := begin.Sub(f.start); s.slow && at >= f.slowFrom && at < f.slowUntil {
		took *= f.slowFactor
	}
	s.freeAt[best] = begin.Add(time.Duration(took))
	return s.freeAt[best]
}
