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

// Bounds of relaying.
const (
	Reserve       = 2
	ReturnMargin  = 500 * time.Microsecond
	RelayQuantile = 0.99
	MinRelayHedge = 5 * time.Millisecond
)

// Spreader runs a query on the VMs that hold the connections to its services: itself with width 0, otherwise the relays of each service.
type Spreader struct {
	scatterer *scatterer.Scatterer
	client    *Client
	self      modeler.VMName
	width     int
	members   atomic.Pointer[map[modeler.VMName]gossiper.Member]
	ranking   *planner.Owners
	latency   *observer.Service
	turn      atomic.Uint32
	now       func() time.Time
}

// NewSpreader makes a spreader for a relay width.
func NewSpreader(s *scatterer.Scatterer, c *Client, self modeler.VMName, width int) *Spreader {
	out := &Spreader{
		scatterer: s, client: c, self: self, width: width, ranking: planner.NewOwners(width + Reserve),
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

// Holders returns how many VMs share the connections to the searchers of a bucket, or 0 if this VM is not one of them.
func (s *Spreader) Holders(bucket string, fleet int) int {
	if s.width == 0 {
		return fleet
	}
	if !slices.Contains(s.ranking.Of(bucket), s.self) {
		return 0
	}
	return s.width + Reserve + 1
}

// owners returns the live VMs that hold the connections of a bucket, its relays first and its reserve after them.
func (s *Spreader) owners(bucket string) []gossiper.Member {
	members := *s.members.Load()
	var out []gossiper.Member
	for _, n := range s.ranking.Of(bucket) {
		if m, ok := members[n]; ok {
			out = append(out, m)
		}
	}
	return out
}

// Run gathers the request directly, or through relays.
func (s *Spreader) Run(ctx context.Context, req scatterer.Request) scatterer.Result {
	if s.width == 0 {
		return s.scatterer.Run(ctx, req)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := newRelayed(s, req, cancel)
	scatterer.Drive(ctx, r.query, s.now, r.ends, func(e *partEnd) *gatherer.Event { return &e.event }, r.act)
	return r.result()
}
