package planner

import (
	"iter"
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
)

// Searcher is one searcher of the view. Whether it leaves or drains is part of its Health, which later views change too.
type Searcher struct {
	modeler.Searcher
	Service   int32         // position in View.Services
	Domain    int32         // number of the failure domain within the view
	RoundTrip time.Duration // network delay from this VM to the searcher and back
	Health    *observer.Searcher
}

// Service is one service of the view.
type Service struct {
	modeler.Service
	Bucket    string  // see BucketOf
	Searchers []int32 // positions in View.Searchers
	Health    *observer.Service
}

// Shard is one shard of a snapshot.
type Shard struct {
	Name      modeler.ShardName
	Service   int32 // position in View.Services, or -1 if the service is not configured
	Documents uint64
}

// Snapshot is one snapshot of the view.
type Snapshot struct {
	ID     modeler.SnapshotID
	Shards []Shard
}

// Index is one index of the view.
type Index struct {
	Name      modeler.IndexName
	Team      modeler.TeamName
	Urgent    bool
	Policy    modeler.Policy
	Snapshots []Snapshot // in ascending order of ID
	pinned    atomic.Pointer[pin]
}

// View is the configuration in force, joined and indexed for planning. Searchers and services refer to each other by
// their positions in the view's lists.
type View struct {
	Position  modeler.Position
	Version   uint64 // of the operator's configuration; 0 if it has none
	Teams     []modeler.Team
	Services  []Service
	Searchers []Searcher
	Buckets   map[string][]int32 // positions of the services in each bucket
	Limits    *modeler.Limits    // of callers' requests and connections; nil if not configured
	routes    *routeTable
	domain    modeler.FailureDomain // of this VM
	indexes   map[modeler.IndexName]*Index
	services  map[modeler.ServiceName]int32
	addresses map[netip.AddrPort][]int32 // positions of the searchers at each address; several if entries of others name it
}

// NewView joins the values of all keys of the configuration into one view, as seen from a VM in the failure domain.
// The observer drops its state of searchers and services that the view does not have.
func NewView(at modeler.Position, domain modeler.FailureDomain, links []modeler.Link, values []modeler.Configuration, o *observer.Observer) *View {
	services, searchers := count(values)
	v := &View{
		Position:  at,
		Services:  make([]Service, 0, services),
		Searchers: make([]Searcher, 0, searchers),
		Buckets:   map[string][]int32{},
		domain:    domain,
		indexes:   map[modeler.IndexName]*Index{},
		services:  make(map[modeler.ServiceName]int32, services),
		addresses: make(map[netip.AddrPort][]int32, searchers),
	}
	domains := map[modeler.FailureDomain]int32{}
	delays := delaysFrom(domain, links)
	registered := registrationsByService(values)
	for _, c := range values {
		v.Version = max(v.Version, c.Version)
		v.Teams = append(v.Teams, c.Teams...)
		for _, s := range c.Services {
			v.addService(addRegistered(s, registered), domains, delays, o)
		}
	}
	v.addRoutes(values)
	urgent := urgentIndexes(v.Teams)
	for _, c := range values {
		for _, x := range c.Indexes {
			v.addIndex(x, urgent[x.Name])
		}
	}
	for _, c := range values {
		for _, r := range c.Registrations {
			o.Register(r)
		}
	}
	observer.Keep(o, v.knows(values), v.services)
	return v
}

// count returns how many services and searchers the values list, as capacities for the view.
func count(values []modeler.Configuration) (services, searchers int) {
	for _, c := range values {
		services += len(c.Services)
		for _, s := range c.Services {
			searchers += len(s.Searchers)
		}
	}
	return services, searchers
}

// Index returns the index with the name.
func (v *View) Index(n modeler.IndexName) (*Index, bool) {
	x, ok := v.indexes[n]
	return x, ok
}

// Indexes returns all indexes of the view.
func (v *View) Indexes() map[modeler.IndexName]*Index { return v.indexes }

// ServiceNames returns the names of all services of the view.
func (v *View) ServiceNames() iter.Seq[modeler.ServiceName] { return maps.Keys(v.services) }

// Service returns the position in v.Services of the service with the name.
func (v *View) Service(n modeler.ServiceName) (int32, bool) {
	i, ok := v.services[n]
	return i, ok
}

// SearchersAt returns the positions in v.Searchers of the searchers at the address: more than one if entries of others
// name the address of a searcher. A request that reaches the wrong one is refused by it.
func (v *View) SearchersAt(a netip.AddrPort) []int32 { return v.addresses[a] }

// Find returns the searcher of that name at the address, or nil if the view has none.
func (v *View) Find(a netip.AddrPort, name modeler.SearcherName) *Searcher {
	for _, n := range v.addresses[a] {
		if v.Searchers[n].Name == name {
			return &v.Searchers[n]
		}
	}
	return nil
}

// addService adds a service and its searchers to the view. If several values have a service of the same name, the first
// one counts. The map domains numbers the failure domains; addService adds those that it lacks.
func (v *View) addService(s modeler.Service, domains map[modeler.FailureDomain]int32, delays map[modeler.FailureDomain]time.Duration, o *observer.Observer) {
	if _, ok := v.services[s.Name]; ok {
		return
	}
	n := int32(len(v.Services))
	v.services[s.Name] = n
	bucket := BucketOf(s.Name)
	v.Buckets[bucket] = append(v.Buckets[bucket], n)
	out := Service{Service: s, Bucket: bucket, Health: o.Service(s.Name), Searchers: make([]int32, 0, len(s.Searchers))}
	for _, r := range s.Searchers {
		d, ok := domains[r.FailureDomain]
		if !ok {
			d = int32(len(domains))
			domains[r.FailureDomain] = d
		}
		v.addresses[r.Address] = append(v.addresses[r.Address], int32(len(v.Searchers)))
		out.Searchers = append(out.Searchers, int32(len(v.Searchers)))
		v.Searchers = append(v.Searchers, Searcher{
			Searcher: r, Service: n, Domain: d, RoundTrip: 2 * delays[r.FailureDomain],
			Health: o.Join(r.Address, r.Name, r.StartedAt, out.Health),
		})
	}
	v.Services = append(v.Services, out)
}

func (v *View) addIndex(x modeler.Index, urgent bool) {
	out := &Index{Name: x.Name, Team: x.Team, Urgent: urgent, Policy: x.Policy}
	for _, s := range x.Snapshots {
		snapshot := Snapshot{ID: s.ID, Shards: make([]Shard, len(s.Shards))}
		for i, shard := range s.Shards {
			service, ok := v.services[shard.Service]
			if !ok {
				service = -1
			}
			snapshot.Shards[i] = Shard{shard.Name, service, shard.Documents}
		}
		out.Snapshots = append(out.Snapshots, snapshot)
	}
	v.indexes[x.Name] = out
}

// delaysFrom returns the one-way delays between a failure domain and the domains that the links connect it to. Of
// several links to the same domain, the last one counts. A domain without a link is not in the map, so its delay is
// taken as 0.
func delaysFrom(domain modeler.FailureDomain, links []modeler.Link) map[modeler.FailureDomain]time.Duration {
	m := map[modeler.FailureDomain]time.Duration{}
	for _, l := range links {
		if l.From == domain {
			m[l.To] = l.Delay.Duration
		}
		if l.To == domain {
			m[l.From] = l.Delay.Duration
		}
	}
	return m
}

func urgentIndexes(teams []modeler.Team) map[modeler.IndexName]bool {
	m := map[modeler.IndexName]bool{}
	for _, t := range teams {
		for _, x := range t.Urgent {
			m[x] = true
		}
	}
	return m
}

// Find returns the index's snapshot with the id.
func (x *Index) Find(id modeler.SnapshotID) (*Snapshot, bool) {
	for i := range x.Snapshots {
		if x.Snapshots[i].ID == id {
			return &x.Snapshots[i], true
		}
	}
	return nil, false
}

// Part returns the snapshot reduced to the named shards, and reports whether it has all of them in the order of names.
func (s *Snapshot) Part(names []string) (*Snapshot, bool) {
	out := &Snapshot{ID: s.ID, Shards: make([]Shard, 0, len(names))}
	for _, shard := range s.Shards {
		if len(out.Shards) < len(names) && names[len(out.Shards)] == string(shard.Name) {
			out.Shards = append(out.Shards, shard)
		}
	}
	return out, len(out.Shards) == len(names)
}
