package relayer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Parameters of relaying. A bucket is a group of services that share their relays (see planner.BucketOf). Its owners are
// the VMs that hold the connections to its services: first the relays, then the reserve. A part of a query is its shards
// whose services are in one bucket.
const (
	ReserveRelays      = 2                      // owners of a bucket in its reserve, which are tried after its relays
	ReturnMargin       = 500 * time.Microsecond // time that a relay's answer needs to return
	RelayHedgeQuantile = 0.99                   // quantile of the latency of parts after which a part is hedged
	MinRelayHedgeDelay = 5 * time.Millisecond
)

// Spreader runs a query on the VMs that hold the connections to its services: on this VM if the relay width is 0,
// otherwise each part of the query on owners of the part's bucket.
type Spreader struct {
	scatterer *scatterer.Scatterer
	client    *Client
	self      modeler.VMName
	width     int // relays of each service; 0 means that this VM runs queries alone
	members   atomic.Pointer[map[modeler.VMName]gossiper.Member]
	ranking   *planner.Owners   // owners of each bucket
	latency   *observer.Service // latency of the parts
	nextRelay atomic.Uint32     // rotates the relays over all queries
	now       func() time.Time
}

// NewSpreader returns a spreader with the given number of relays for each service.
func NewSpreader(s *scatterer.Scatterer, c *Client, self modeler.VMName, width int) *Spreader {
	out := &Spreader{
		scatterer: s, client: c, self: self, width: width, ranking: planner.NewOwners(width + ReserveRelays),
		latency: observer.NewService(), now: time.Now,
	}
	out.SetMembers(nil)
	return out
}

// SetMembers replaces the live VMs that may be relays.
func (s *Spreader) SetMembers(members []gossiper.Member) {
	names := make([]modeler.VMName, len(members))
	byName := make(map[modeler.VMName]gossiper.Member, len(members))
	for i, m := range members {
		names[i] = m.Name
		byName[m.Name] = m
	}
	s.members.Store(&byName)
	s.ranking.Set(names)
}

// HolderCount returns by how many VMs the connections to the searchers of a bucket are to be shared, or 0 if this VM is
// not one of them. If the relay width is 0, all VMs of the tier share the connections, and vms is their number. Otherwise
// the count is fixed, one above the greatest number of owners of a bucket, however many VMs are alive.
func (s *Spreader) HolderCount(bucket string, vms int) int {
	if s.width == 0 {
		return vms
	}
	if !slices.Contains(s.ranking.Of(bucket), s.self) {
		return 0
	}
	return s.width + ReserveRelays + 1
}

// owners returns the live VMs that hold the connections of a bucket: first the relays, then the reserve.
func (s *Spreader) owners(bucket string) []gossiper.Member {
	members := *s.members.Load()
	var out []gossiper.Member
	for _, name := range s.ranking.Of(bucket) {
		if m, ok := members[name]; ok {
			out = append(out, m)
		}
	}
	return out
}

// Run gathers the answers to the request from searchers, or from relays if the relay width is not 0.
func (s *Spreader) Run(ctx context.Context, req scatterer.Request) scatterer.Result {
	if s.width == 0 {
		return s.scatterer.Run(ctx, req)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := newRelayedQuery(s, req, cancel)
	scatterer.Drive(ctx, r.query, s.now, r.results, func(p *partResult) *gatherer.Event { return &p.event }, r.perform)
	return r.result()
}
