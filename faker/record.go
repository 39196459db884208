package faker

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Run is one request that a searcher ran.
type Run struct {
	At       time.Time
	Service  modeler.ServiceName
	Searcher modeler.SearcherName
	Request  modeler.RequestID
	Attempt  string
	Shard    modeler.ShardName
	Snapshot modeler.SnapshotID
	Order    bool
	Body     string
	Draining time.Duration
}

// Record is what all searchers of a world ran.
type Record struct {
	mu   sync.Mutex
	runs []Run
}

// Add records one run.
func (r *Record) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Runs returns the recorded runs for which keep holds.
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

// Len returns how many runs were recorded.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}
