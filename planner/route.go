package planner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Route is one route of the view, with the snapshots that its requests run on. Its Index is not a configured one: it is
// made from the route, so that a request on the route runs like a query. Its field Urgent says whether the route has
// priority 0.
type Route struct {
	modeler.Route
	Index       *Index
	Reserve     float64 // fraction of a limited searcher's burst that the route leaves to more urgent ones
	targets     []target
	totalWeight float64
}

// target is a snapshot that requests of a route run on. It gets the fraction weight/totalWeight of these requests.
// A route with a split has one target per service, each with one shard. A route with shards has a single target.
type target struct {
	weight   float64
	snapshot *Snapshot
}

// routeTable holds the routes of each host, those with the longest path prefix first.
type routeTable struct{ byHost map[string][]*Route }

func (v *View) addRoutes(values []modeler.Configuration) {
	v.routes = &routeTable{byHost: map[string][]*Route{}}
	for _, c := range values {
		if c.Limits != nil {
			v.Limits = c.Limits
		}
		for _, r := range c.Routes {
			v.routes.byHost[r.Host] = append(v.routes.byHost[r.Host], v.newRoute(r))
		}
	}
	v.setReserves()
	for _, list := range v.routes.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// setReserves makes each route leave a part of its searchers' bursts to more urgent routes to the same services.
func (v *View) setReserves() {
	highest := map[modeler.ServiceName]int{} // least Priority, which is the most urgent
	v.eachRouteService(func(r *Route, s modeler.ServiceName) {
		if p, ok := highest[s]; !ok || r.Priority < p {
			highest[s] = r.Priority
		}
	})
	v.eachRouteService(func(r *Route, s modeler.ServiceName) {
		if highest[s] < r.Priority {
			r.Reserve = UrgentReserve
		}
	})
}

// eachRouteService calls f for each route and each service that its requests may go to.
func (v *View) eachRouteService(f func(*Route, modeler.ServiceName)) {
	for _, list := range v.routes.byHost {
		for _, r := range list {
			for _, s := range r.Shards {
				f(r, s)
			}
			for _, w := range r.Split {
				f(r, w.Service)
			}
		}
	}
}

// UrgentReserve is the fraction of a limited searcher's burst that is left to the most urgent routes.
const UrgentReserve = 0.5

func (v *View) newRoute(r modeler.Route) *Route {
	out := &Route{Route: r, Index: &Index{
		Name: modeler.IndexName(r.Name), Urgent: r.Priority == 0,
		Policy: modeler.Policy{LeastCoverage: max(r.LeastCoverage, minCoverage), HedgeQuantile: RouteHedgeQuantile},
	}}
	if len(r.Shards) > 0 {
		out.targets = []target{{1, v.newRouteSnapshot(r.Shards...)}}
		out.totalWeight = 1
		return out
	}
	for _, w := range r.Split {
		out.targets = append(out.targets, target{w.Weight, v.newRouteSnapshot(w.Service)})
		out.totalWeight += w.Weight
	}
	return out
}

// minCoverage replaces a lower LeastCoverage of a route. It is above 0, so that at least one shard must answer, and so
// low that any one shard is enough.
const minCoverage = 1e-9

// RouteHedgeQuantile is the hedge quantile in the policy of a route. It has no effect: attempts on routes are hedged by
// the typical latency of the service, not by a quantile.
const RouteHedgeQuantile = 0.95

// epochShift is the number of bits of a route snapshot's id that hold the revision. Those above hold the epoch.
const epochShift = 48

// routeSnapshotID returns the id of the snapshots of routes in a view at the position.
func routeSnapshotID(at modeler.Position) modeler.SnapshotID {
	return modeler.SnapshotID(at.Epoch)<<epochShift | modeler.SnapshotID(at.Revision)
}

// newRouteSnapshot returns a snapshot with one shard for each service.
func (v *View) newRouteSnapshot(services ...modeler.ServiceName) *Snapshot {
	s := &Snapshot{ID: routeSnapshotID(v.Position), Shards: make([]Shard, len(services))}
	for i, name := range services {
		n, ok := v.services[name]
		if !ok {
			n = -1
		}
		s.Shards[i] = Shard{Name: modeler.ShardName(name), Service: n}
	}
	return s
}

// HasRoutes reports whether the configuration has any routes.
func (v *View) HasRoutes() bool { return len(v.routes.byHost) > 0 }

// Match returns the route of the host whose prefix is the longest that the path begins with.
func (v *View) Match(host, path string) (*Route, bool) {
	for _, r := range v.routes.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Choose returns the snapshot that a request runs on. The fraction, from 0 to 1, picks a service of a split by weight.
func (r *Route) Choose(fraction float64) *Snapshot {
	remainder := fraction * r.totalWeight
	for i := range r.targets {
		if remainder < r.targets[i].weight {
			return r.targets[i].snapshot
		}
		remainder -= r.targets[i].weight
	}
	return r.targets[len(r.targets)-1].snapshot
}
