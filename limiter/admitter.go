package limiter

import (
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Admitter limits the requests under way on one VM, and guarantees each team a share of the limit. It adapts the limit
// to signs that searchers are overloaded (see Observe).
type Admitter struct {
	mu           sync.Mutex
	limit        float64
	underway     int
	teams        map[modeler.TeamName]*teamLoad
	adjustedAt   time.Time
	loweredAt    time.Time
	sent         int // attempts since the last adjustment
	overloads    int // signs of overload since the last adjustment
	peakUnderway int // most requests under way since the last adjustment
}

// teamLoad is the guaranteed share of one team and its requests under way.
type teamLoad struct {
	share    float64
	underway int
}

// NewAdmitter returns an admitter whose limit is InitialConcurrency.
func NewAdmitter() *Admitter {
	return &Admitter{limit: InitialConcurrency, teams: map[modeler.TeamName]*teamLoad{}}
}

// SetShares replaces the guaranteed shares of all teams. A team that is not listed has none.
func (a *Admitter) SetShares(teams []modeler.Team) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.teams {
		u.share = 0
	}
	for _, t := range teams {
		a.load(t.Name).share = t.Share
	}
}

// Admit counts a request of the team as under way if there is room for it, and reports whether there is. The caller
// must call Release when an admitted request ends.
func (a *Admitter) Admit(team modeler.TeamName, urgent bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.load(team)
	if !a.hasRoom(u, urgent) {
		return false
	}
	u.underway++
	a.underway++
	a.peakUnderway = max(a.peakUnderway, a.underway)
	return true
}

// hasRoom reports whether one more request of a team can be admitted. Within the team's own share it always can; beyond
// that, only if the unused parts of the other teams' guaranteed shares stay free. The other teams' shares are shares of
// the limit for requests that are not urgent, even if this request is urgent.
func (a *Admitter) hasRoom(u *teamLoad, urgent bool) bool {
	limit := a.limit
	if urgent {
		limit *= UrgentFactor
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
	return float64(a.underway)+reserved < limit
}

// Release counts an admitted request of the team as ended.
func (a *Admitter) Release(team modeler.TeamName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load(team).underway--
	a.underway--
}

// Observe records how many attempts a request sent, and how many signs of overload were seen. The callers count
// attempts that reached their deadline without a connection, attempts that searchers refused (if widespread) and, for
// searches, shards that did not answer (if widespread). Every AdjustInterval, given enough attempts, it adjusts the
// limit: it lowers the limit if the signs exceed ShedTolerance for each attempt, and otherwise raises it if at least half
// of it was in use.
func (a *Admitter) Observe(now time.Time, sent, overloads int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent += sent
	a.overloads += overloads
	if now.Sub(a.adjustedAt) < AdjustInterval || a.sent < MinSamples {
		return
	}
	if float64(a.overloads) > ShedTolerance*float64(a.sent) {
		a.limit = max(MinConcurrency, min(a.limit, float64(a.peakUnderway))*DecreaseFactor)
		a.loweredAt = now
	} else if float64(a.peakUnderway) >= a.limit/2 {
		a.limit = min(MaxConcurrency, a.limit+IncreaseStep+a.limit*IncreaseShare)
	}
	a.adjustedAt, a.sent, a.overloads, a.peakUnderway = now, 0, 0, a.underway
}

// UnderPressure reports whether the limit was lowered within the last PressurePeriod. Searches then send
// searchers no hedges, and no retries that a budget pays for, because these are the first load that must stop.
func (a *Admitter) UnderPressure(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.loweredAt) < PressurePeriod
}

// Limit returns the limit of requests under way, and their current number.
func (a *Admitter) Limit() (limit float64, underway int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit, a.underway
}

// load returns the load of a team, and adds the team if it is new.
func (a *Admitter) load(team modeler.TeamName) *teamLoad {
	u := a.teams[team]
	if u == nil {
		u = &teamLoad{}
		a.teams[team] = u
	}
	return u
}
