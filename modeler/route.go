package modeler

import "time"

// RouteName is the name of a route.
type RouteName string

// Weighted is one service of a split and its relative weight.
type Weighted struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says which of the callers' requests go to which services, and how they are served.
// It has either a split, of which one service serves a request, or shards, whose answers are merged.
type Route struct {
	Name          RouteName     `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"`
	Idempotent    bool          `json:"idempotent,omitempty"`
	Timeout       Duration      `json:"timeout"`
	Objective     Duration      `json:"objective"`
	Attempts      int           `json:"attempts"`
	Priority      int           `json:"priority,omitempty"`
	Split         []Weighted    `json:"split,omitempty"`
	Shards        []ServiceName `json:"shards,omitempty"`
	Limit         int           `json:"limit,omitempty"`
	LeastCoverage float64       `json:"least-coverage,omitempty"`
}

// Limits bounds the size of callers' requests, the time that their headers may take, and the time that a connection
// may stay idle.
type Limits struct {
	HeaderBytes   int      `json:"header-bytes"`
	BodyBytes     int64    `json:"body-bytes"`
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// Registration is what a searcher tells the platform about itself. Cold is the time that it still needs to warm up.
// Seen is when the VM received the registration. A leaving searcher is used until the time Until.
type Registration struct {
	Searcher    Searcher      `json:"searcher"`
	Service     ServiceName   `json:"service"`
	Slots       int           `json:"slots"`
	Leaving     bool          `json:"leaving,omitempty"`
	WarmUp      time.Duration `json:"-"`
	ReceivedAt  time.Time     `json:"-"`
	UsableUntil time.Time     `json:"-"`
}

func (r Route) check(p *Problems, path ...any) {
	p.CheckName(string(r.Name), append(path, "name")...)
	if r.Host == "" {
		p.Add("is empty", append(path, "host")...)
	}
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		p.Add("must begin and end with a slash", append(path, "prefix")...)
	}
	if r.Timeout.Duration <= 0 {
		p.Add("must be above 0", append(path, "timeout")...)
	}
	if r.Attempts < 1 {
		p.Add("must be at least 1", append(path, "attempts")...)
	}
	if (len(r.Split) == 0) == (len(r.Shards) == 0) {
		p.Add("needs either a split or shards", path...)
	}
	if len(r.Shards) > 0 && (!r.Idempotent || r.Limit < 1) {
		p.Add("over shards must be idempotent and have a limit", path...)
	}
	for i, w := range r.Split {
		if w.Weight < 0 {
			p.Add("must not be negative", append(append([]any{}, path...), "split", i, "weight")...)
		}
	}
	checkFraction(p, r.LeastCoverage, append(path, "least-coverage")...)
}
