package planner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Route is one route of the view with what its requests run on.
type Route struct {
	modeler.Route
	Index  *Index
	splits []split
	total  float64
}

// split is one service of a route and the snapshot of its one shard.
type split struct {
	weight   float64
	snapshot *Snapshot
}

// routes finds the route of a request: by host, then by the longest prefix.
type routes struct{ hosts map[string][]*Route }

func (v *View) addRoutes(values []modeler.Configuration) {
	v.routes = &routes{hosts: map[string][]*Route{}}
	for _, c := range values {
		if c.Limits != nil {
			v.Limits = c.Limits
		}
		for _, r := range c.Routes {
			v.routes.hosts[r.Host] = append(v.routes.hosts[r.Host], v.newRoute(r))
		}
	}
	for _, list := range v.routes.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

func (v *View) newRoute(r modeler.Route) *Route {
	out := &Route{Route: r, Index: &Index{
		Name: modeler.IndexName(r.Name), Urgent: r.Priority == 0,
		Policy: modeler.Policy{LeastCoverage: max(r.LeastCoverage, leastAnswer), HedgeQuantile: RouteHedgeQuantile},
	}}
	if len(r.Shards) > 0 {
		out.splits = []split{{1, v.snapshotOf(r.Shards...)}}
		out.total = 1
		return out
	}
	for _, w := range r.Split {
		out.splits = append(out.splits, split{w.Weight, v.snapshotOf(w.Service)})
		out.total += w.Weight
	}
	return out
}

// leastAnswer is a coverage above 0 that any answer reaches.
const leastAnswer = 1e-9

// RouteHedgeQuantile is the quantile of a service's latency after which a route's attempt is hedged.
const RouteHedgeQuantile = 0.95

// snapshotOf makes a snapshot at the view's revision that has one shard for each service.
func (v *View) snapshotOf(services ...modeler.ServiceName) *Snapshot {
	s := &Snapshot{ID: modeler.SnapshotID(v.Revision), Shards: make([]Shard, len(services))}
	for i, name := range services {
		n, ok := v.services[name]
		if !ok {
			n = -1
		}
		s.Shards[i] = Shard{Name: modeler.ShardName(name), Service: n}
	}
	return s
}

// HasRoutes reports whether the configuration names any route.
func (v *View) HasRoutes() bool { return len(v.routes.hosts) > 0 }

// Match returns the route of the host with the longest prefix of the path.
func (v *View) Match(host, path string) (*Route, bool) {
	for _, r := range v.routes.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Choose returns what a request runs on; the fraction, from 0 to 1, picks one of the services of a split by their weights.
func (r *Route) Choose(fraction float64) *Snapshot {
	rest := fraction * r.total
	for i := range r.splits {
		if rest < r.splits[i].weight {
			return r.splits[i].snapshot
		}
		rest -= r.splits[i].weight
	}
	return r.splits[len(r.splits)-1].snapshot
}
