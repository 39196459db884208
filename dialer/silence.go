package dialer

import (
	"net/netip"
	"sync"
	"time"
)

// silence finds that many connections went silent at once: a device between the two ends has lost track of them.
type silence struct {
	mu      sync.Mutex
	silent  map[netip.AddrPort]time.Time
	trusted time.Time
}

// found records a connection that stayed silent since the time while another one to the same searcher was answered.
func (s *silence) found(addr netip.AddrPort, since, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = map[netip.AddrPort]time.Time{}
	}
	s.silent[addr] = since
	first := since
	for a, t := range s.silent {
		if now.Sub(t) > SilenceWindow {
			delete(s.silent, a)
			continue
		}
		if t.Before(first) {
			first = t
		}
	}
	if len(s.silent) >= SilentSearchers {
		s.trusted = first
	}
}

// trustedSince returns the time since when an idle connection must have been read from to be used.
func (s *silence) trustedSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trusted
}
