package planner

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// PinPeriod bounds how long a pinned snapshot is taken again without a new look.
const PinPeriod = 100 * time.Millisecond

type pin struct {
	generation uint64
	at         time.Time
	snapshot   *Snapshot
}

// Pin returns the newest snapshot after the floor of which every shard has a live replica that holds it; without one, the newest that no service is known to lack, then the newest.
func (v *View) Pin(x *Index, now time.Time, generation uint64, floor modeler.SnapshotID) *Snapshot {
	if p := x.pinned.Load(); floor == 0 && p != nil && p.generation == generation && now.Sub(p.at) < PinPeriod {
		return p.snapshot
	}
	s := v.pinNow(x, now, floor)
	if floor == 0 {
		x.pinned.Store(&pin{generation, now, s})
	}
	return s
}

func (v *View) pinNow(x *Index, now time.Time, floor modeler.SnapshotID) *Snapshot {
	var possible *Snapshot
	for i := len(x.Snapshots) - 1; i >= 0 && x.Snapshots[i].ID > floor; i-- {
		s := &x.Snapshots[i]
		held, lacking := v.standing(x.Name, s, now)
		if held {
			return s
		}
		if !lacking && possible == nil {
			possible = s
		}
	}
	if possible != nil {
		return possible
	}
	if newest := &x.Snapshots[len(x.Snapshots)-1]; newest.ID > floor {
		return newest
	}
	return nil
}

// standing reports whether every service of the snapshot is known to hold it, and whether one is known to lack it.
func (v *View) standing(index modeler.IndexName, s *Snapshot, now time.Time) (held, lacking bool) {
	held = true
	last := int32(-2)
	for i := range s.Shards {
		n := s.Shards[i].Service
		if n == last || n < 0 {
			continue
		}
		last = n
		holds, known := v.serviceHolds(index, n, s.ID, now)
		held = held && holds
		lacking = lacking || (known && !holds)
	}
	return held, lacking
}

func (v *View) serviceHolds(index modeler.IndexName, service int32, id modeler.SnapshotID, now time.Time) (holds, known bool) {
	known = true
	for _, r := range v.Services[service].Searchers {
		b := v.Searchers[r].Health
		h, k := b.Held(index, id)
		if h && !b.Ejected(now) {
			return true, true
		}
		known = known && k
	}
	return false, known
}
