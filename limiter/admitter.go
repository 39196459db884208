package limiter

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Admitter limits the requests under way on one VM and keeps each team its share.
type Admitter struct {
	mu       sync.Mutex
	limit    float64
	total    int
	teams    map[modeler.TeamName]*teamUse
	adjusted time.Time
	lowered  time.Time
	sent     int
	shed     int
	peak     int
}

type teamUse struct {
	share    float64
	underway int
}

// NewAdmitter makes an admitter at its initial limit.
func NewAdmitter() *Admitter {
	return &Admitter{limit: InitialConcurrency, teams: map[modeler.TeamName]*teamUse{}}
}

// SetShares replaces the guaranteed share of each team.
func (a *Admitter) SetShares(teams []modeler.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.teams {
		u.share = 0
	}
	for _, t := range teams {
		a.use(t.Name).share = t.Share
	}
}

// Admit takes a place for a request of the team and reports whether there was one.
func (a *Admitter) Admit(team modeler.TeamName, urgent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.use(team)
	if !a.fits(u, urgent) {
		return false
	}
	u.underway++
	a.total++
	a.peak = max(a.peak, a.total)
	return true
}

// fits admits within the team's own share always, and beyond it only into places that no other team is guaranteed.
func (a *Admitter) fits(u *teamUse, urgent bool) bool {
	limit := a.limit
	if urgent {
		limit *= UrgentHeadroom
	}
	if float64(u.underway) < u.share*limit {
		return true
	}
	reserved := 0.0
	for _, other := range a.teams {
		if other != u {
			reserved += max(0, other.share*a.limit-float64(other.underway))
		}
	}
	return float64(a.total)+reserved < limit
}

// Release gives a place back.
func (a *Admitter) Release(team modeler.TeamName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.use(team).underway--
	a.total--
}

// Observe records how many attempts a request sent and how many were shed or late, and adjusts the limit.
func (a *Admitter) Observe(now time.Time, sent, shed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent += sent
	a.shed += shed
	if now.Sub(a.adjusted) < AdjustInterval || a.sent < MinSamples {
		return
	}
	if float64(a.shed) > ShedTolerance*float64(a.sent) {
		a.limit = max(MinConcurrency, min(a.limit, float64(a.peak))*DecreaseFactor)
		a.lowered = now
	} else if float64(a.peak) >= a.limit/2 {
		a.limit = min(MaxConcurrency, a.limit+IncreaseStep+a.limit*IncreaseShare)
	}
	a.adjusted, a.sent, a.shed, a.peak = now, 0, 0, a.total
}

// Pressed reports whether the limit was lowered lately: then hedges and retries have to stop first.
func (a *Admitter) Pressed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.lowered) < PressedFor
}

// Limit returns the concurrency limit and the requests under way.
func (a *Admitter) Limit() (limit float64, underway int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit, a.total
}

func (a *Admitter) use(team modeler.TeamName) *teamUse {
	u := a.teams[team]
	if u == nil {
		u = &teamUse{}
		a.teams[team] = u
	}
	return u
}
