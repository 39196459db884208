package scatterer

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Guards against attempts that each open a connection where searchers lose answers without crashing: only the attempts of a
// request that has lost searchers, and that no searcher has answered, do.
func TestWhichAttemptsProveThatTheirSearcherIsAlive(t *testing.T) {
	for _, tt := range []struct {
		name             string
		lost, suspect    bool // in this run; before
		answered, lately bool // another shard of the request; an equal request
		want             bool
	}{
		{"nothing is known", false, false, false, false, false},
		{"after a loss", true, false, false, false, true},
		{"after a crash before this run", false, true, false, false, true},
		{"after a loss, another shard has answered", true, false, true, false, false},
		{"after a loss, an equal request was answered", true, false, false, true, false},
		{"after a crash since an equal request was answered", true, true, false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewScatterer(nil, nil, observer.NewQuarantine(), nil)
			r := &run{s: s, fingerprint: 7, query: queryOfTwoShards(tt.answered), isSuspect: tt.suspect}
			if tt.lost {
				r.losses = append(r.losses, observer.Crash{})
			}
			if tt.lately {
				s.Quarantine.RecordGood(r.fingerprint, 1, time.Now())
			}
			if got := r.mayCrash(); got != tt.want {
				t.Errorf("opens a connection: %v, want %v", got, tt.want)
			}
		})
	}
}

// queryOfTwoShards returns a query whose first shard has been answered, or none.
func queryOfTwoShards(answered bool) *gatherer.Query {
	now := time.Now()
	q := gatherer.NewQuery(gatherer.Plan{Shards: make([]gatherer.Shard, 2), Deadline: now.Add(time.Minute), LeastCoverage: 1}, gatherer.Hooks{
		Pick:       func(_ time.Time, shard int32, _ []int32) (int32, bool) { return shard, true },
		HedgeAfter: func(int32) time.Duration { return time.Minute },
		Matches:    func(gatherer.Claim, gatherer.Claim) bool { return true },
		Hold:       gatherer.HoldUntilCleared,
	})
	q.Handle(now, &gatherer.Event{Kind: gatherer.EventStart}, nil)
	if answered {
		q.Handle(now, &gatherer.Event{Kind: gatherer.EventAnswer}, nil)
	}
	return q
}
