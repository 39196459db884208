package relayer

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/scatterer"
)

// Bounds of relaying.
const (
	Reserve        = 2
	BucketServices = 16
	ReturnMargin   = 500 * time.Microsecond
	RelayQuantile  = 0.99
	MinRelayHedge  = 5 * time.Millisecond
)

// Spreader runs a query on the VMs that hold the connections to its services: itself with width 0, otherwise the relays of each service.
type Spreader struct {
	scatterer *scatterer.Scatterer
	client    *Client
	recorder  *recorder.Recorder
	self      modeler.VMName
	width     int
	members   func() []gossiper.Member
	latency   *observer.Service
	turn      atomic.Uint32
	now       func() time.Time
}

// NewSpreader makes a spreader for a relay width.
func NewSpreader(s *scatterer.Scatterer, c *Client, r *recorder.Recorder, self modeler.VMName, width int, members func() []gossiper.Member) *Spreader {
	return &Spreader{
		scatterer: s, client: c, recorder: r, self: self, width: width, members: members,
		latency: observer.NewService(), now: time.Now,
	}
}

// Holders returns how many VMs share the connections to the searchers of a service, or 0 if this VM is not one of them.
func (s *Spreader) Holders(service modeler.ServiceName, fleet int) int {
	if s.width == 0 {
		return fleet
	}
	owns := slices.ContainsFunc(s.owners(bucketOf(service)), func(m gossiper.Member) bool { return m.Name == s.self })
	if !owns {
		return 0
	}
	return s.width + Reserve + 1
}

// owners returns the live VMs that hold the connections of a bucket, its relays first and its reserve after them.
func (s *Spreader) owners(bucket string) []gossiper.Member {
	members := s.members()
	names := make([]modeler.VMName, len(members))
	byName := make(map[modeler.VMName]gossiper.Member, len(members))
	for i, m := range members {
		names[i] = m.Name
		byName[m.Name] = m
	}
	var out []gossiper.Member
	for _, n := range planner.Rank("relay/"+bucket, names, s.width+Reserve) {
		out = append(out, byName[n])
	}
	return out
}

// bucketOf returns the group of neighbouring services that share their relays: the name without its number, and the number's block.
func bucketOf(service modeler.ServiceName) string {
	name := string(service)
	prefix := strings.TrimRight(name, "0123456789")
	n, err := strconv.Atoi(name[len(prefix):])
	if err != nil {
		return name
	}
	return prefix + strconv.Itoa(n/BucketServices)
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
