package modeler

import "time"

// RouteName names a route of callers' requests.
type RouteName string

// Weighted is one service of a split and its weight among the others.
type Weighted struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says which requests go to which services, and how they are served.
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

// Limits bound what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int      `json:"header-bytes"`
	BodyBytes     int64    `json:"body-bytes"`
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// Registration is what a searcher says of itself to the platform.
type Registration struct {
	Searcher Searcher      `json:"searcher"`
	Service  ServiceName   `json:"service"`
	Slots    int           `json:"slots"`
	Leaving  bool          `json:"leaving,omitempty"`
	Cold     time.Duration `json:"-"`
	Seen     time.Time     `json:"-"`
	Until    time.Time     `json:"-"`
}

func (r Route) check(p *Problems, path ...any) {
	p.Name(string(r.Name), append(path, "name")...)
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
	checkShare(p, r.LeastCoverage, append(path, "least-coverage")...)
}
