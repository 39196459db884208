package observer

import (
	"net/netip"
	"testing"
	"time"
)

// A searcher that usually answers in 10 ms pauses for 200 ms while three attempts are under way: it must not count as
// slow. Another one has become slow for good: it must count as slow after two slow answers in a row.
func TestOnePauseDoesNotMakeASearcherSlow(t *testing.T) {
	o := NewObserver(WithPauses())
	service := o.Service("desk")
	join := func(lastByte byte) *Searcher {
		s := o.Join(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, lastByte}), 80), "s", time.Time{}, service)
		now := epoch
		for range 50 {
			s.Begin(now)
			now = now.Add(10 * time.Millisecond)
			s.Answered(now, 10*time.Millisecond)
			service.Record(10 * time.Millisecond)
		}
		return s
	}
	paused, slow := join(1), join(2)
	now := epoch.Add(time.Second)
	for range 3 {
		paused.Begin(now)
	}
	if !paused.Stalled(now.Add(50*time.Millisecond), 30*time.Millisecond) {
		t.Error("searcher is not stalled after 50 ms without an answer, limit 30 ms")
	}
	now = now.Add(200 * time.Millisecond)
	for range 3 {
		paused.Answered(now, 200*time.Millisecond)
	}
	if paused.Stalled(now, 30*time.Millisecond) {
		t.Error("searcher is still stalled after its answers")
	}
	if got := paused.Cost(now, 2, 0); got > float64(30*time.Millisecond) {
		t.Errorf("expected latency after one pause is %s, want at most 30ms", time.Duration(got))
	}
	for range 2 {
		slow.Begin(now)
		now = now.Add(80 * time.Millisecond)
		slow.Answered(now, 80*time.Millisecond)
	}
	if got := slow.Cost(now, 2, 0); got < float64(60*time.Millisecond) {
		t.Errorf("expected latency after two slow answers in a row is %s, want at least 60ms", time.Duration(got))
	}
}
