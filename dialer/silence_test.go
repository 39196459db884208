package dialer

import (
	"net/netip"
	"testing"
	"time"
)

func TestSilenceOfSeveralSearchers(t *testing.T) {
	var s silenceDetector
	start := time.Unix(1_800_000_000, 0)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	s.record(a, start, start.Add(time.Millisecond))
	s.record(a, start, start.Add(2*time.Millisecond))
	if !s.minLastRead().IsZero() {
		t.Error("one silent searcher excluded the idle connections to all searchers")
	}
	s.record(b, start.Add(3*SilenceWindow), start.Add(3*SilenceWindow))
	if !s.minLastRead().IsZero() {
		t.Error("two searchers silent at different times excluded the idle connections to all searchers")
	}
	s.record(a, start.Add(3*SilenceWindow+1), start.Add(3*SilenceWindow+2))
	if !s.minLastRead().Equal(start.Add(3 * SilenceWindow)) {
		t.Errorf("two searchers silent at once: minLastRead is %s, want the start of the first silent exchange", s.minLastRead())
	}
}
