package observer

import (
	"net/netip"
	"testing"
	"time"
)

// The load: a searcher that answers in 10 ms pauses for 200 ms while three attempts are under way, and another one that has become slow for good.
func TestOnePauseDoesNotMakeASearcherSlow(t *testing.T) {
	o := NewObserver(WithPauses())
	service := o.Service("desk")
	join := func(last byte) *Searcher {
		s := o.Join(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80), "s", time.Time{}, service)
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
		t.Error("a searcher that answers nothing does not count as stalled")
	}
	now = now.Add(200 * time.Millisecond)
	for range 3 {
		paused.Answered(now, 200*time.Millisecond)
	}
	if paused.Stalled(now, 30*time.Millisecond) {
		t.Error("a searcher that has answered counts as stalled")
	}
	if got := paused.Cost(now, 2, 0); got > float64(30*time.Millisecond) {
		t.Errorf("after one pause an answer is expected in %s", time.Duration(got))
	}
	for range 2 {
		slow.Begin(now)
		now = now.Add(80 * time.Millisecond)
		slow.Answered(now, 80*time.Millisecond)
	}
	if got := slow.Cost(now, 2, 0); got < float64(60*time.Millisecond) {
		t.Errorf("after two slow answers in a row the next is expected in %s", time.Duration(got))
	}
}
