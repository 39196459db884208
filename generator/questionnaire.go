package generator

import (
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Questionnaire holds a team's answers about its callers, its services and its tolerances.
type Questionnaire struct {
	Team           modeler.TeamName        `json:"team"`
	Share          float64                 `json:"share"`
	Weighing       modeler.Weighing        `json:"weighing"`
	Tolerances     Tolerances              `json:"tolerances"`
	FailureDomains []modeler.FailureDomain `json:"failure-domains"`
	Groups         []Group                 `json:"service-groups"`
	Indexes        []Index                 `json:"indexes"`
}

// Tolerances holds what the team's callers tolerate: how long a search may take, the least fraction of the shards that
// an answer covers, and the load that hedges and retries may add, as a fraction of the primary load.
type Tolerances struct {
	Deadline      modeler.Duration `json:"deadline"`
	LeastCoverage float64          `json:"least-coverage"`
	ExtraLoad     float64          `json:"extra-load"`
}

// Group describes services that have the same number of searchers and the same contract.
// Their searchers have consecutive IP addresses from FirstAddress on, all with its port.
type Group struct {
	Name         string           `json:"name"`
	Services     int              `json:"services"`
	Searchers    int              `json:"searchers"`
	Slots        int              `json:"slots"`
	Connections  int              `json:"connections"`
	SetUp        modeler.Duration `json:"set-up"`
	Idempotent   bool             `json:"idempotent"`
	Documents    uint64           `json:"documents-per-service"`
	FirstAddress netip.AddrPort   `json:"first-address"`
}

// Index is an index that the team's callers search. It has one shard for each service of its groups.
type Index struct {
	Name   modeler.IndexName `json:"name"`
	Groups []string          `json:"groups"`
	Urgent bool              `json:"urgent"`
}

// Upper bounds of the counts of a group. MaxServices bounds Services and Connections; MaxSearchers bounds Searchers and
// Slots.
const (
	MaxServices  = 10_000
	MaxSearchers = 1000
)

// Check returns all problems of the questionnaire.
func (q *Questionnaire) Check() modeler.Problems {
	var p modeler.Problems
	p.CheckName(string(q.Team), "team")
	if q.Weighing != modeler.WeighingTailLatency && q.Weighing != modeler.WeighingCoverage {
		p.Add(`must be "tail-latency" or "coverage"`, "weighing")
	}
	checkFraction(&p, q.Share, "share")
	checkFraction(&p, q.Tolerances.LeastCoverage, "tolerances", "least-coverage")
	checkFraction(&p, q.Tolerances.ExtraLoad, "tolerances", "extra-load")
	if d := q.Tolerances.Deadline.Duration; d < modeler.MinDeadline || d > modeler.MaxDeadline {
		p.Add("must be from 1ms to 1m", "tolerances", "deadline")
	}
	if len(q.FailureDomains) == 0 {
		p.Add("must name at least one failure domain", "failure-domains")
	}
	for i, d := range q.FailureDomains {
		p.CheckName(string(d), "failure-domains", i)
	}
	groupNames := map[string]bool{}
	for i, g := range q.Groups {
		g.check(&p, groupNames, i)
	}
	for i, x := range q.Indexes {
		p.CheckName(string(x.Name), "indexes", i, "name")
		if len(x.Groups) == 0 {
			p.Add("must name at least one group", "indexes", i, "groups")
		}
		for j, n := range x.Groups {
			if !groupNames[n] {
				p.Add("is not a service group", "indexes", i, "groups", j)
			}
		}
	}
	return p
}

func (g Group) check(p *modeler.Problems, names map[string]bool, i int) {
	p.CheckName(g.Name, "service-groups", i, "name")
	if names[g.Name] {
		p.Add("is the name of an earlier item of the list too", "service-groups", i, "name")
	}
	names[g.Name] = true
	checkCount(p, g.Services, MaxServices, "service-groups", i, "services")
	checkCount(p, g.Searchers, MaxSearchers, "service-groups", i, "searchers")
	checkCount(p, g.Slots, MaxSearchers, "service-groups", i, "slots")
	checkCount(p, g.Connections, MaxServices, "service-groups", i, "connections")
	if g.SetUp.Duration > time.Second {
		p.Add("must be at most 1s", "service-groups", i, "set-up")
	}
	if !g.FirstAddress.IsValid() || g.FirstAddress.Port() == 0 {
		p.Add("must be an address with a port", "service-groups", i, "first-address")
	}
}

func checkFraction(p *modeler.Problems, v float64, path ...any) {
	if v < 0 || v > 1 {
		p.Add("must be from 0 to 1", path...)
	}
}

func checkCount(p *modeler.Problems, n, limit int, path ...any) {
	if n < 1 || n > limit {
		p.Add("must be at least 1 and at most the allowed maximum", path...)
	}
}
