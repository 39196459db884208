package configurer

import (
	"testing"
	"time"
)

// Guards against refusals while searchers that a new epoch lacks can't write again, because the store is away once more.
func TestMissingRegistrationsAreHeldUntilTheStoreIsKnownToLackThem(t *testing.T) {
	const hold, period = 2 * time.Second, time.Second
	start := time.Now()
	known := start
	s := NewStore(WithDecode(decodeEntry), WithHold(hold, time.Hour), WithConfirmedAt(func() time.Time { return known }))
	s.Offer(start, in(1, 5), []Value{{"servers/a", in(1, 5), []byte("ready 1 5")}, {"servers/b", in(1, 4), []byte("ready 1 5")}})
	s.Offer(start, in(1, 6), []Value{{"servers/b", in(1, 6), nil}})
	s.Replace(start, in(2, 3), nil)
	until := func() time.Duration {
		e := s.entries["servers/a"]
		return e.heldRegistrations[0].UsableUntil.Sub(start)
	}
	if res := s.HoldMissing(start.Add(period/2), period); res.Changed() || until() != hold {
		t.Errorf("held for %v, want %v while that is longer than to the next call", until(), hold)
	}
	s.HoldMissing(start.Add(1500*time.Millisecond), period)
	if got := until(); got != 3500*time.Millisecond {
		t.Errorf("held for %v, want to the call after the next while the store is not known to lack it", got)
	}
	known = start.Add(hold)
	if res := s.HoldMissing(start.Add(3*time.Second), period); res.Changed() {
		t.Errorf("held for %v although the store was known to lack it for the hold period", until())
	}
	known = start
	for n := range 10 {
		s.HoldMissing(start.Add(time.Duration(n)*period), period)
	}
	if got := until(); got != LapseLimit {
		t.Errorf("held for %v, want LapseLimit at most", got)
	}
	if got := s.entries["servers/b"].heldRegistrations[0].UsableUntil.Sub(start); got != hold {
		t.Errorf("a searcher whose registration was removed before is held for %v, want %v", got, hold)
	}
}
