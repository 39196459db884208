package dialer

import (
	"net/netip"
	"sync"
	"time"
)

// silenceDetector detects when connections to several searchers go silent at once.
// The cause is then a device on the path that has lost its connection state, so idle connections may be silent too.
type silenceDetector struct {
	mu          sync.Mutex
	silentSince map[netip.AddrPort]time.Time // by searcher: start of the last silent exchange
	cutoff      time.Time                    // when the last silence of several searchers began; zero if there was none
}

// record adds a connection that has been silent since the given time, although another connection to the same searcher
// was answered in the meantime. It then drops all entries whose exchange started more than SilenceWindow ago, even the
// one just added: an exchange that was silent for longer does not count towards SilentSearchers.
func (s *silenceDetector) record(addr netip.AddrPort, since, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentSince == nil {
		s.silentSince = map[netip.AddrPort]time.Time{}
	}
	s.silentSince[addr] = since
	earliest := since
	for a, t := range s.silentSince {
		if now.Sub(t) > SilenceWindow {
			delete(s.silentSince, a)
			continue
		}
		if t.Before(earliest) {
			earliest = t
		}
	}
	if len(s.silentSince) >= SilentSearchers {
		s.cutoff = earliest
	}
}

// minLastRead returns the time since which an idle connection must have been read from to be used.
func (s *silenceDetector) minLastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutoff
}
