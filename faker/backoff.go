package faker

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/dialer"
)

// backoffGrace is how long requests that were sent before a refusal arrived may still come.
const backoffGrace = 500 * time.Millisecond

// shed refuses a search as overloaded. With RetryAfter it asks the sender for no requests, and counts the request as
// unwanted if the sender was asked before.
func (s *Searcher) shed(w http.ResponseWriter, from netip.Addr, b Behaviour) {
	if b.RetryAfter > 0 {
		s.noteBackoff(from, b.RetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(b.RetryAfter.Seconds(), 'g', -1, 64))
	}
	writeRefusal(w, dialer.RefusedShedding)
}

func (s *Searcher) noteBackoff(from netip.Addr, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	asked, ok := s.backoffs[from]
	if since := now.Sub(asked); ok && since < d {
		if since > backoffGrace {
			s.unwanted++
		}
		return
	}
	if s.backoffs == nil {
		s.backoffs = map[netip.Addr]time.Time{}
	}
	s.backoffs[from] = now
}

// Unwanted returns how many requests came although their sender had been asked for none.
func (s *Searcher) Unwanted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwanted
}
