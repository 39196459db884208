package planner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// askedState is what the searchers of a service have said of themselves.
type askedState struct {
	leaving      [3]bool
	backoffUntil [3]time.Time
}

// say makes a searcher say something at random in an answer.
func (a *askedState) say(t *rapid.T, v *View, now time.Time) {
	n := rapid.IntRange(0, 2).Draw(t, "searcher")
	health := v.Searchers[n].Health
	switch rapid.IntRange(0, 3).Draw(t, "says") {
	case 0:
		health.MarkLeaving(now)
		a.leaving[n] = true
	case 1:
		d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms of backoff")) * time.Millisecond
		health.BackOff(now, d)
		if end := now.Add(d); end.After(a.backoffUntil[n]) {
			a.backoffUntil[n] = end
		}
	case 2:
		limit := modeler.RateLimit{State: modeler.Stated, PerSecond: rapid.Float64Range(0, 20).Draw(t, "limit")}
		health.StateLimit(now, now, limit, func(x float64) limiter.QuotaPart { return limiter.QuotaPartOf(x, 1, 0) }, 0.5)
	case 3:
		health.StateLimit(now, now, modeler.RateLimit{}, nil, 0)
	}
}

// Searchers say in any order that they leave, that they want no requests, or that they have limits. No pick may return
// one that leaves or wants none, and once all that they said is over, a searcher that does not leave must be picked.
func TestPickHeedsWhatSearchersSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, x, _ := newTestView(1, 1)
		p := Picker{View: v, Index: x.Name, Snapshot: &x.Snapshots[1], Random: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }, StallLimit: time.Second}
		asked, now := &askedState{}, epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			asked.say(t, v, now)
			r, ok := p.Pick(now, 0, nil)
			if !ok {
				continue
			}
			if asked.leaving[r] || now.Before(asked.backoffUntil[r]) {
				t.Fatalf("Pick returned searcher %d: leaving %v, wants none for %v", r, asked.leaving[r], asked.backoffUntil[r].Sub(now))
			}
			v.Searchers[r].Health.Take(now)
		}
		_, ok := p.Pick(now.Add(time.Hour), 0, nil)
		if want := asked.leaving != [3]bool{true, true, true}; ok != want {
			t.Fatalf("an hour later Pick found a searcher: %v; leaving: %v", ok, asked.leaving)
		}
	})
}
