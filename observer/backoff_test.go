package observer

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var backoffStart = time.Unix(1_800_000_000, 0)

// Answers, backoffs and news of draining come in any order. A searcher must not get requests before the latest end of
// the times for which it asked for none, and after that it must get them again.
func TestBackoffHoldsUntilItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewObserver().At(netip.MustParseAddrPort("10.0.0.1:80"))[0]
		now, until := backoffStart, backoffStart
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms of backoff")) * time.Millisecond
				isNew := s.BackOff(now, d)
				if want := !now.Before(until); isNew != want {
					t.Fatalf("backoff is new: %v, want %v", isNew, want)
				}
				if end := now.Add(d); end.After(until) {
					until = end
				}
			case 1:
				s.Begin(now)
				s.Answered(now, time.Millisecond)
			case 2:
				s.Begin(now)
				s.Failed(now, false)
			}
			if want := now.Before(until); s.BackingOff(now) != want || (s.Wait(now, 0) > 0) != want {
				t.Fatalf("%v before the end of the last backoff: backing off is %v, wait %v", until.Sub(now), s.BackingOff(now), s.Wait(now, 0))
			}
		}
		if s.BackingOff(until) || s.Wait(until, 0) > 0 {
			t.Fatal("the searcher gets no requests after the end of its backoffs")
		}
	})
}

func TestRequestsReturnGraduallyAfterABackoff(t *testing.T) {
	s := NewObserver().At(netip.MustParseAddrPort("10.0.0.1:80"))[0]
	usual := s.Cost(backoffStart, 1, 0)
	s.BackOff(backoffStart, time.Second)
	end := backoffStart.Add(time.Second)
	if c := s.Cost(end, 1, 0); c < 3.9*usual {
		t.Errorf("cost is %.1f times the usual one at the end of a backoff, want about 4", c/usual)
	}
	if c := s.Cost(end.Add(SlowStart), 1, 0); c > 1.1*usual {
		t.Errorf("cost is %.1f times the usual one after SlowStart, want about 1", c/usual)
	}
}

func TestLeavingEndsOnlyWithAnotherRegistration(t *testing.T) {
	o := NewObserver()
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	service := o.Service("desk")
	s := o.Join(addr, "a", backoffStart, service)
	if !s.MarkLeaving(backoffStart) || s.MarkLeaving(backoffStart) {
		t.Error("MarkLeaving doesn't report the first time, and only this, as new")
	}
	later := backoffStart.Add(time.Hour)
	s.Begin(later)
	s.Answered(later, time.Millisecond)
	if s = o.Join(addr, "a", backoffStart, service); !s.Draining(later) || s.Connectable(later) {
		t.Error("a searcher that leaves gets requests again, though it is still registered as before")
	}
	if s = o.Join(addr, "a", later, service); s.Draining(later) {
		t.Error("a searcher that started again under its name counts as leaving")
	}
	s.MarkLeaving(later)
	if s = o.Join(addr, "b", later, service); s.Draining(later) {
		t.Error("another searcher at the address counts as leaving")
	}
}
