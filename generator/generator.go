package generator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Constants of a generated configuration. All but FirstSnapshot turn the weighing and the tolerances into a policy.
const (
	// The fraction of the extra load that is planned for hedges of ordinary slowness, for each weighing: with a fraction
	// of 0.8 and an extra load of 0.05, an answer counts as slow if it is among the slowest 4% of its service's recent
	// answers. The rest is left for a straggler, a searcher that becomes slower than these answers.
	TailHedgeLoadShare     = 0.8
	CoverageHedgeLoadShare = 0.5
	// The least fraction of a service's answers that are treated as slow enough to be hedged.
	MinHedgedShare = 0.001
	// The patience as a fraction of the deadline, if the team's weighing is tail latency. A search that has reached the
	// least coverage ends after it.
	TailPatienceShare = 0.4
	// The id of the generated snapshot of each index.
	FirstSnapshot = 1
)

// Explanation says from which answers a generated value follows, and why. Pointer is the JSON pointer to the value; in
// the pointer to a value that all indexes share, "*" stands for the position of the index. Source is the JSON pointer to
// the answer in the questionnaire, or two pointers joined by " and ".
type Explanation struct {
	Pointer string
	Value   string
	Source  string
	Reason  string
}

// String returns the explanation as two lines for an operator.
func (e Explanation) String() string {
	return fmt.Sprintf("%s = %s\n    from %s: %s", e.Pointer, e.Value, e.Source, e.Reason)
}

// Generate returns the configuration for a questionnaire that has passed its Check. It also explains the team's share
// and urgent indexes, the contract and the kind of requests of each service, the policy except its weighing, and the
// number of shards of each index. The same answers always give the same configuration.
func Generate(q Questionnaire) (modeler.Configuration, []Explanation) {
	g := &generation{questionnaire: q}
	g.team()
	for i := range q.Groups {
		g.group(i)
	}
	policy := g.policy()
	for i := range q.Indexes {
		g.index(i, policy)
	}
	return g.configuration, g.explanations
}

type generation struct {
	questionnaire Questionnaire
	configuration modeler.Configuration
	explanations  []Explanation
}

func (g *generation) explain(pointer string, value any, source, reason string) {
	g.explanations = append(g.explanations, Explanation{pointer, fmt.Sprint(value), source, reason})
}

func (g *generation) team() {
	t := modeler.Team{Name: g.questionnaire.Team, Share: g.questionnaire.Share}
	for i, x := range g.questionnaire.Indexes {
		if x.Urgent {
			t.Urgent = append(t.Urgent, x.Name)
			g.explain("/teams/0/urgent", x.Name, fmt.Sprintf("/indexes/%d/urgent", i), "searches of urgent indexes are admitted up to a higher concurrency limit than others")
		}
	}
	g.configuration.Teams = []modeler.Team{t}
	g.explain("/teams/0/share", t.Share, "/share", "this part of each VM's capacity is reserved for the team")
}

func (g *generation) group(i int) {
	group := g.questionnaire.Groups[i]
	source := fmt.Sprintf("/service-groups/%d", i)
	addr := group.FirstAddress
	for n := range group.Services {
		s := modeler.Service{
			Name: serviceName(group, n), Team: g.questionnaire.Team, Orders: !group.Idempotent,
			Contract: modeler.Contract{Slots: group.Slots, Connections: group.Connections, SetUp: group.SetUp},
		}
		for k := range group.Searchers {
			s.Searchers = append(s.Searchers, modeler.Searcher{
				Name:    modeler.SearcherName(fmt.Sprintf("%s-%d", s.Name, k+1)),
				Address: addr, FailureDomain: g.questionnaire.FailureDomains[k%len(g.questionnaire.FailureDomains)],
			})
			addr = netip.AddrPortFrom(addr.Addr().Next(), addr.Port())
		}
		pointer := fmt.Sprintf("/services/%d", len(g.configuration.Services))
		g.explain(pointer+"/contract", s.Contract, source, "the limits that the team's searchers publish")
		g.explain(pointer+"/orders", s.Orders, source+"/idempotent", "a request that is not idempotent needs a ticket, by which it runs at most once")
		g.configuration.Services = append(g.configuration.Services, s)
	}
}

func serviceName(g Group, n int) modeler.ServiceName {
	if g.Services == 1 {
		return modeler.ServiceName(g.Name)
	}
	return modeler.ServiceName(fmt.Sprintf("%s-%02d", g.Name, n+1))
}

// policy returns the policy that all indexes share. The weighing and the tolerances decide how long a search waits for
// its last shards, and how many hedges and retries it may send.
func (g *generation) policy() modeler.Policy {
	t := g.questionnaire.Tolerances
	p := modeler.Policy{
		Weighing: g.questionnaire.Weighing, Deadline: t.Deadline, LeastCoverage: t.LeastCoverage,
		HedgeShare: t.ExtraLoad, RetryShare: t.ExtraLoad,
	}
	if g.questionnaire.Weighing == modeler.WeighingTailLatency {
		p.HedgeQuantile = 1 - max(MinHedgedShare, min(TailHedgeLoadShare, TailHedgeLoadShare*t.ExtraLoad))
		p.Patience = modeler.Duration{Duration: time.Duration(float64(t.Deadline.Duration) * TailPatienceShare)}
	} else {
		p.HedgeQuantile = 1 - max(MinHedgedShare, CoverageHedgeLoadShare*t.ExtraLoad)
		p.Patience = t.Deadline
	}
	pointer := "/indexes/*/policy"
	g.explain(pointer+"/deadline", p.Deadline.Duration, "/tolerances/deadline", "no search takes longer")
	g.explain(pointer+"/least-coverage", p.LeastCoverage, "/tolerances/least-coverage", "a search that has reached this coverage may end after its patience")
	g.explain(pointer+"/patience", p.Patience.Duration, "/weighing", "with tail-latency a search may end before its deadline; with coverage it waits for the last shards until the deadline")
	g.explain(pointer+"/hedge-quantile", p.HedgeQuantile, "/tolerances/extra-load and /weighing", "a hedge is sent to a shard that is slower than this part of its service's recent answers; hedges of ordinary slowness use only a part of the extra load, so that some is left for a straggler")
	g.explain(pointer+"/hedge-share", p.HedgeShare, "/tolerances/extra-load", "hedges stay below this part of the primary load")
	g.explain(pointer+"/retry-share", p.RetryShare, "/tolerances/extra-load", "retries stay below this part of the primary load")
	return p
}

func (g *generation) index(i int, policy modeler.Policy) {
	x := g.questionnaire.Indexes[i]
	groups := map[string]bool{}
	for _, n := range x.Groups {
		groups[n] = true
	}
	snapshot := modeler.Snapshot{ID: FirstSnapshot}
	for _, group := range g.questionnaire.Groups {
		if !groups[group.Name] {
			continue
		}
		for n := range group.Services {
			name := serviceName(group, n)
			snapshot.Shards = append(snapshot.Shards, modeler.Shard{Name: modeler.ShardName(name), Service: name, Documents: group.Documents})
		}
	}
	g.configuration.Indexes = append(g.configuration.Indexes, modeler.Index{Name: x.Name, Team: g.questionnaire.Team, Policy: policy, Snapshots: []modeler.Snapshot{snapshot}})
	g.explain(fmt.Sprintf("/indexes/%d/snapshots", i), fmt.Sprintf("%d shards", len(snapshot.Shards)), fmt.Sprintf("/indexes/%d/groups", i), "one shard for each service of the groups")
}

// Compare returns a line for each explained value that differs between two questionnaires: "+" for a new value, "~" for
// a changed one and "-" for one that is gone. Values without an explanation are not compared.
// Compare is exact only for values with a pointer of their own. All urgent indexes share the pointer /teams/0/urgent, so
// with two or more of them it returns lines even if nothing differs.
func Compare(before, after []Explanation) []string {
	oldValues := map[string]string{}
	for _, e := range before {
		oldValues[e.Pointer] = e.Value
	}
	var out []string
	for _, e := range after {
		oldValue, ok := oldValues[e.Pointer]
		delete(oldValues, e.Pointer)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s = %s", e.Pointer, e.Value))
		case oldValue != e.Value:
			out = append(out, fmt.Sprintf("~ %s: %s -> %s (%s)", e.Pointer, oldValue, e.Value, e.Reason))
		}
	}
	for _, e := range before {
		if oldValue, ok := oldValues[e.Pointer]; ok {
			out = append(out, fmt.Sprintf("- %s = %s", e.Pointer, oldValue))
			delete(oldValues, e.Pointer)
		}
	}
	return out
}
