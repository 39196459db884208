package dialer

import (
	"net/netip"
	"sync"
	"time"
)

// silenceDetector finds that many connections went silent at once: a device between the two ends has lost track of them.
type silenceDetector struct {
	mu          sync.Mutex
	silentSince map[netip.AddrPort]time.Time
	cutoff      time.Time
}

// record records a connection that stayed silent since the time while another one to the same searcher was answered.
func (s *silenceDetector) record(addr netip.AddrPort, since, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silentSince == nil {
		s.silentSince = map[netip.AddrPort]time.Time{}
	}
	s.silentSince[addr] = since
	first := since
	for a, t := range s.silentSince {
		if now.Sub(t) > SilenceWindow {
			delete(s.silentSince, a)
			continue
		}
		if t.Before(first) {
			first = t
		}
	}
	if len(s.silentSince) >= SilentSearchers {
		s.cutoff = first
	}
}

// minLastRead returns the time since when an idle connection must have been read from to be used.
func (s *silenceDetector) minLastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutoff
}
