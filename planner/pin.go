package planner

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// PinPeriod is how long Pin may return a cached snapshot before it selects one again.
const PinPeriod = 100 * time.Millisecond

// pin is the cached choice of a snapshot, valid for one generation of the observer.
type pin struct {
	generation uint64
	pinnedAt   time.Time
	snapshot   *Snapshot
}

// Pin returns the snapshot of an index that a query should read, among those newer than after. It prefers the newest
// snapshot that every service is known to hold on a replica that is not ejected, then the newest that no service is
// known to lack, then the newest. A service whose only replicas with a snapshot are ejected counts as lacking it. Pin
// returns nil if no snapshot is newer. If after is 0, the result is cached for PinPeriod, as long as the observer's
// generation stays the same.
func (v *View) Pin(x *Index, now time.Time, generation uint64, after modeler.SnapshotID) *Snapshot {
	if p := x.pinned.Load(); after == 0 && p != nil && p.generation == generation && now.Sub(p.pinnedAt) < PinPeriod {
		return p.snapshot
	}
	s := v.selectSnapshot(x, now, after)
	if after == 0 {
		x.pinned.Store(&pin{generation, now, s})
	}
	return s
}

func (v *View) selectSnapshot(x *Index, now time.Time, after modeler.SnapshotID) *Snapshot {
	var fallback *Snapshot
	for i := len(x.Snapshots) - 1; i >= 0 && x.Snapshots[i].ID > after; i-- {
		s := &x.Snapshots[i]
		heldByAll, lackedByAny := v.holdings(x.Name, s, now)
		if heldByAll {
			return s
		}
		if !lackedByAny && fallback == nil {
			fallback = s
		}
	}
	if fallback != nil {
		return fallback
	}
	if newest := &x.Snapshots[len(x.Snapshots)-1]; newest.ID > after {
		return newest
	}
	return nil
}

// holdings reports whether every service of the snapshot's shards is known to hold it, and whether at least one is known
// to lack it. Shards without a configured service are skipped.
func (v *View) holdings(index modeler.IndexName, s *Snapshot, now time.Time) (heldByAll, lackedByAny bool) {
	heldByAll = true
	previous := int32(-2) // service checked last, -2 before the first
	for i := range s.Shards {
		n := s.Shards[i].Service
		if n == previous || n < 0 {
			continue
		}
		previous = n
		holds, known := v.serviceHolds(index, n, s.ID, now)
		heldByAll = heldByAll && holds
		lackedByAny = lackedByAny || (known && !holds)
	}
	return heldByAll, lackedByAny
}

// serviceHolds reports whether a searcher of the service that is not ejected holds the snapshot. If none does, known
// reports whether all of the service's searchers, ejected ones included, have reported what they hold.
func (v *View) serviceHolds(index modeler.IndexName, service int32, id modeler.SnapshotID, now time.Time) (holds, known bool) {
	known = true
	for _, r := range v.Services[service].Searchers {
		health := v.Searchers[r].Health
		held, heldKnown := health.HoldsSnapshot(index, id)
		if held && !health.Ejected(now) {
			return true, true
		}
		known = known && heldKnown
	}
	return false, known
}
