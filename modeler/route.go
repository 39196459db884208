package modeler

import "time"

// RouteName is the name of a route.
type RouteName string

// Weighted is one service of a split and its relative weight.
type Weighted struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says which of the callers' requests go to which services, and how they are served. It has either a split, of
// which one service serves a request, or Shards: the services that hold one shard each, whose answers are merged.
// Requests on routes with priority 0 are urgent: they are admitted up to a higher concurrency limit than others.
// Attempts limits, for each shard of a request, the attempts that may have run; an attempt that provably did not run
// does not count.
// Limit and LeastCoverage matter only with Shards. A merged answer holds at most Limit records. A request is refused if
// less than the fraction LeastCoverage of its shards answered, or none did. If Objective is set, the request ends, from
// shortly before Objective on, as soon as LeastCoverage is reached.
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

// Registration is what a searcher registers about itself with the platform, and when the VM learned of it.
type Registration struct {
	Searcher    Searcher      `json:"searcher"`
	Service     ServiceName   `json:"service"`
	Slots       int           `json:"slots"`
	Leaving     bool          `json:"leaving,omitempty"`
	Sequence    uint64        `json:"-"` // the searcher's count of its own writes since its start
	WarmUp      time.Duration `json:"-"` // how long from ReceivedAt on the searcher still warms up
	ReceivedAt  time.Time     `json:"-"` // when the VM received the registration
	UsableUntil time.Time     `json:"-"` // until when a leaving searcher may be sent requests; zero if it is not leaving
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
