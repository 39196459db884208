package scatterer

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Guards against retries that each open a connection where searchers lose answers without crashing: only the retry of a
// request that has lost a searcher, and that no searcher has answered, does.
func TestWhichRetriesProveThatTheirSearcherIsAlive(t *testing.T) {
	for _, tt := range []struct {
		name             string
		purpose          gatherer.Purpose
		lost             bool
		answered, lately bool // another shard of the request; an equal request
		want             bool
	}{
		{"first attempt", gatherer.Primary, false, false, false, false},
		{"retry after a refusal", gatherer.Retry, false, false, false, false},
		{"retry after a loss", gatherer.Retry, true, false, false, true},
		{"hedge after a loss", gatherer.Hedge, true, false, false, false},
		{"retry after a loss, another shard has answered", gatherer.Retry, true, true, false, false},
		{"retry after a loss, an equal request was answered", gatherer.Retry, true, false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := NewScatterer(nil, nil, observer.NewQuarantine(), nil)
			r := &run{s: s, fingerprint: 7, query: queryOfTwoShards(tt.answered)}
			if tt.lost {
				r.losses = append(r.losses, observer.Crash{})
			}
			if tt.lately {
				s.Quarantine.RecordGood(r.fingerprint, 1, time.Now())
			}
			if got := r.mayCrash(tt.purpose); got != tt.want {
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
