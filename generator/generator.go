package generator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// How the weighing becomes a policy.
const (
	TailHedgeUse      = 0.8
	CoverageHedgeUse  = 0.5
	MinHedgeTail      = 0.001
	TailPatienceShare = 0.4
	FirstSnapshot     = 1
)

// Explanation says which answer a generated value came from, and why.
type Explanation struct {
	Value  string
	Set    string
	From   string
	Reason string
}

// String returns one line for an operator.
func (e Explanation) String() string {
	return fmt.Sprintf("%s = %s\n    from %s: %s", e.Value, e.Set, e.From, e.Reason)
}

// Generate returns the configuration of a checked questionnaire, the same for the same answers, and an explanation of each value.
func Generate(q Questionnaire) (modeler.Configuration, []Explanation) {
	g := &generation{q: q}
	g.team()
	for i := range q.Groups {
		g.group(i)
	}
	policy := g.policy()
	for i := range q.Indexes {
		g.index(i, policy)
	}
	return g.out, g.why
}

type generation struct {
	q   Questionnaire
	out modeler.Configuration
	why []Explanation
}

func (g *generation) explain(value string, set any, from, reason string) {
	g.why = append(g.why, Explanation{value, fmt.Sprint(set), from, reason})
}

func (g *generation) team() {
	t := modeler.Team{Name: g.q.Team, Share: g.q.Share}
	for i, x := range g.q.Indexes {
		if x.Urgent {
			t.Urgent = append(t.Urgent, x.Name)
			g.explain("/teams/0/urgent", x.Name, fmt.Sprintf("/indexes/%d/urgent", i), "its searches are admitted before the rest")
		}
	}
	g.out.Teams = []modeler.Team{t}
	g.explain("/teams/0/share", t.Share, "/share", "this part of each VM's capacity is kept for the team")
}

func (g *generation) group(i int) {
	group := g.q.Groups[i]
	from := fmt.Sprintf("/service-groups/%d", i)
	addr := group.FirstAddress
	for n := range group.Services {
		s := modeler.Service{
			Name: serviceName(group, n), Team: g.q.Team, Orders: !group.Idempotent,
			Contract: modeler.Contract{Slots: group.Slots, Connections: group.Connections, SetUp: group.SetUp},
		}
		for k := range group.Searchers {
			s.Searchers = append(s.Searchers, modeler.Searcher{
				Name:    modeler.SearcherName(fmt.Sprintf("%s-%d", s.Name, k+1)),
				Address: addr, FailureDomain: g.q.Domains[k%len(g.q.Domains)],
			})
			addr = netip.AddrPortFrom(addr.Addr().Next(), addr.Port())
		}
		at := fmt.Sprintf("/services/%d", len(g.out.Services))
		g.explain(at+"/contract", s.Contract, from, "the limits that the team's searchers publish")
		g.explain(at+"/orders", s.Orders, from+"/idempotent", "a request that is not idempotent runs at most once, by ticket")
		g.out.Services = append(g.out.Services, s)
	}
}

func serviceName(g Group, n int) modeler.ServiceName {
	if g.Services == 1 {
		return modeler.ServiceName(g.Name)
	}
	return modeler.ServiceName(fmt.Sprintf("%s-%02d", g.Name, n+1))
}

// policy turns the weighing into how long a search waits for its last shards and what it may spend on them.
func (g *generation) policy() modeler.Policy {
	t := g.q.Tolerances
	p := modeler.Policy{
		Weighing: g.q.Weighing, Deadline: t.Deadline, LeastCoverage: t.LeastCoverage,
		HedgeShare: t.ExtraLoad, RetryShare: t.ExtraLoad,
	}
	if g.q.Weighing == modeler.WeighTail {
		p.HedgeQuantile = 1 - max(MinHedgeTail, min(TailHedgeUse, TailHedgeUse*t.ExtraLoad))
		p.Patience = modeler.Duration{Duration: time.Duration(float64(t.Deadline.Duration) * TailPatienceShare)}
	} else {
		p.HedgeQuantile = 1 - max(MinHedgeTail, CoverageHedgeUse*t.ExtraLoad)
		p.Patience = t.Deadline
	}
	at := "/indexes/*/policy"
	g.explain(at+"/deadline", p.Deadline.Duration, "/tolerances/deadline", "no search waits longer")
	g.explain(at+"/least-coverage", p.LeastCoverage, "/tolerances/least-coverage", "a search that has this much may end after its patience")
	g.explain(at+"/patience", p.Patience.Duration, "/weighing", "tail latency ends a search early, coverage waits for the last shards until the deadline")
	g.explain(at+"/hedge-quantile", p.HedgeQuantile, "/tolerances/extra-load and /weighing", "a shard slower than this part of its service's recent answers is asked again; ordinary slowness stays within the extra load, so that some is left for a straggler")
	g.explain(at+"/hedge-share", p.HedgeShare, "/tolerances/extra-load", "hedges stay below this part of the primary load")
	g.explain(at+"/retry-share", p.RetryShare, "/tolerances/extra-load", "retries stay below this part of the primary load")
	return p
}

func (g *generation) index(i int, policy modeler.Policy) {
	x := g.q.Indexes[i]
	wanted := map[string]bool{}
	for _, n := range x.Groups {
		wanted[n] = true
	}
	snapshot := modeler.Snapshot{ID: FirstSnapshot}
	for _, group := range g.q.Groups {
		if !wanted[group.Name] {
			continue
		}
		for n := range group.Services {
			name := serviceName(group, n)
			snapshot.Shards = append(snapshot.Shards, modeler.Shard{Name: modeler.ShardName(name), Service: name, Documents: group.Documents})
		}
	}
	g.out.Indexes = append(g.out.Indexes, modeler.Index{Name: x.Name, Team: g.q.Team, Policy: policy, Snapshots: []modeler.Snapshot{snapshot}})
	g.explain(fmt.Sprintf("/indexes/%d/snapshots", i), fmt.Sprintf("%d shards", len(snapshot.Shards)), fmt.Sprintf("/indexes/%d/groups", i), "one shard for each service of the groups")
}

// Compare returns the generated values that differ between two questionnaires.
func Compare(before, after []Explanation) []string {
	old := map[string]string{}
	for _, e := range before {
		old[e.Value] = e.Set
	}
	var out []string
	for _, e := range after {
		was, ok := old[e.Value]
		delete(old, e.Value)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s = %s", e.Value, e.Set))
		case was != e.Set:
			out = append(out, fmt.Sprintf("~ %s: %s -> %s (%s)", e.Value, was, e.Set, e.Reason))
		}
	}
	for _, e := range before {
		if was, ok := old[e.Value]; ok {
			out = append(out, fmt.Sprintf("- %s = %s", e.Value, was))
			delete(old, e.Value)
		}
	}
	return out
}
