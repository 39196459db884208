package faker

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Run is one request that a searcher ran: a search on a shard, or an order.
type Run struct {
	StartedAt   time.Time
	Service     modeler.ServiceName
	Searcher    modeler.SearcherName
	RequestID   modeler.RequestID
	Attempt     string
	Shard       modeler.ShardName
	Snapshot    modeler.SnapshotID
	IsOrder     bool
	Body        string
	DrainingFor time.Duration // for how long the searcher had been draining at the start of the run
}

// Record holds the runs of all searchers of an environment.
type Record struct {
	mu   sync.Mutex
	runs []Run
}

func (r *Record) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Runs returns the recorded runs for which keep returns true.
func (r *Record) Runs(keep func(Run) bool) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Run
	for _, x := range r.runs {
		if keep(x) {
			out = append(out, x)
		}
	}
	return out
}

// Len returns the number of recorded runs.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
