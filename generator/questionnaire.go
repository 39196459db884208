package generator

import (
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Questionnaire is what a team answers about its callers, its services and its tolerances.
type Questionnaire struct {
	Team       modeler.TeamName        `json:"team"`
	Share      float64                 `json:"share"`
	Weighing   modeler.Weighing        `json:"weighing"`
	Tolerances Tolerances              `json:"tolerances"`
	Domains    []modeler.FailureDomain `json:"failure-domains"`
	Groups     []Group                 `json:"service-groups"`
	Indexes    []Index                 `json:"indexes"`
}

// Tolerances are what the team's callers can bear.
type Tolerances struct {
	Deadline      modeler.Duration `json:"deadline"`
	LeastCoverage float64          `json:"least-coverage"`
	ExtraLoad     float64          `json:"extra-load"`
}

// Group is a number of services of one shape; their searchers take addresses from the first one on.
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

// Index is an index that the team's callers search, over all services of some groups.
type Index struct {
	Name   modeler.IndexName `json:"name"`
	Groups []string          `json:"groups"`
	Urgent bool              `json:"urgent"`
}

// Bounds of the answers.
const (
	MaxServices  = 10_000
	MaxSearchers = 1000
)

// Check returns all faults of the questionnaire.
func (q *Questionnaire) Check() modeler.Problems {
	var p modeler.Problems
	p.Name(string(q.Team), "team")
	if q.Weighing != modeler.WeighTail && q.Weighing != modeler.WeighCoverage {
		p.Add(`must be "tail-latency" or "coverage"`, "weighing")
	}
	checkFraction(&p, q.Share, "share")
	checkFraction(&p, q.Tolerances.LeastCoverage, "tolerances", "least-coverage")
	checkFraction(&p, q.Tolerances.ExtraLoad, "tolerances", "extra-load")
	if d := q.Tolerances.Deadline.Duration; d < modeler.MinDeadline || d > modeler.MaxDeadline {
		p.Add("must be from 1ms to 1m", "tolerances", "deadline")
	}
	if len(q.Domains) == 0 {
		p.Add("must name at least one failure domain", "failure-domains")
	}
	for i, d := range q.Domains {
		p.Name(string(d), "failure-domains", i)
	}
	groups := map[string]bool{}
	for i, g := range q.Groups {
		g.check(&p, groups, i)
	}
	for i, x := range q.Indexes {
		p.Name(string(x.Name), "indexes", i, "name")
		if len(x.Groups) == 0 {
			p.Add("must name at least one group", "indexes", i, "groups")
		}
		for j, n := range x.Groups {
			if !groups[n] {
				p.Add("is not a service group", "indexes", i, "groups", j)
			}
		}
	}
	return p
}

func (g Group) check(p *modeler.Problems, seen map[string]bool, i int) {
	p.Name(g.Name, "service-groups", i, "name")
	if seen[g.Name] {
		p.Add("is named twice", "service-groups", i, "name")
	}
	seen[g.Name] = true
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
		p.Add("is out of bounds", path...)
	}
}
