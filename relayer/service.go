package relayer

import (
	"context"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// Service answers calls from other VMs.
type Service struct {
	Store     *configurer.Store
	Gossip    *gossiper.Gossip
	Tickets   *ticketer.Registry // of the tickets that this VM is responsible for
	Orderer   *orderer.Orderer
	Scatterer *scatterer.Scatterer
	View      func() *planner.View
	Self      ticketer.Incarnation // incarnation of this VM
}

// Search runs the sub-queries of one query for another VM.
func (s *Service) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchResult, error) {
	req, ok := s.request(r)
	if !ok {
		return &messenger.SearchResult{RequestId: r.GetRequestId(), Refused: true}, nil
	}
	return resultToWire(r.GetRequestId(), s.Scatterer.Run(ctx, req)), nil
}

// request returns the request for the shards that the call names, and false if the configuration of this VM lacks the
// index, the snapshot or one of the shards.
func (s *Service) request(r *messenger.SearchRequest) (scatterer.Request, bool) {
	v := s.View()
	if v == nil {
		return scatterer.Request{}, false
	}
	index, ok := v.Index(modeler.IndexName(r.GetIndex()))
	if !ok {
		return scatterer.Request{}, false
	}
	snapshot, ok := index.Find(modeler.SnapshotID(r.GetSnapshot()))
	if !ok {
		return scatterer.Request{}, false
	}
	part, ok := snapshot.Part(r.GetShards())
	return scatterer.Request{
		ID: modeler.RequestID(r.GetRequestId()), View: v, Index: index, Snapshot: part, Body: r.GetQuery(), Limit: int(r.GetLimit()),
		Deadline: time.Now().Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond),
	}, ok
}

// Order runs an order that another VM forwards because this VM is responsible for its ticket.
func (s *Service) Order(ctx context.Context, r *messenger.OrderRequest) (*messenger.OrderResult, error) {
	out := s.Orderer.SubmitLocal(ctx, orderer.Submission{
		Service: modeler.ServiceName(r.GetService()), Ticket: r.GetTicket(), Body: r.GetBody(),
		Deadline: time.Now().Add(time.Duration(r.GetDeadlineMicros()) * time.Microsecond),
	})
	return &messenger.OrderResult{Kind: string(out.Kind), Detail: out.Detail, Result: out.Result}, nil
}

// Pull returns the configuration values that are newer than a position.
func (s *Service) Pull(_ context.Context, r *messenger.PullRequest) (*messenger.PullResult, error) {
	since := modeler.Position{Epoch: modeler.Epoch(r.GetSinceEpoch()), Revision: modeler.Revision(r.GetSince())}
	return deltaToWire(s.Store.Delta(since)), nil
}

// Sync merges the members that another VM sends. It returns the members in the buckets (see gossiper.Node.Digests)
// whose digests differ between the two VMs, the successors that have taken over tickets, and the news (gossiper.News)
// that this VM holds.
func (s *Service) Sync(_ context.Context, r *messenger.SyncRequest) (*messenger.SyncResult, error) {
	s.Gossip.MergeMembers(membersFromWire(r.GetMembers()))
	out := &messenger.SyncResult{}
	s.Gossip.Inspect(func(n *gossiper.Node) {
		for _, m := range n.Differing(r.GetDigests()) {
			out.Members = append(out.Members, m.ToWire())
		}
		out.Successors = gossiper.SuccessorsToWire(n.Successors())
		out.News = gossiper.NewsToWire(n.NewsList())
	})
	return out, nil
}

// Adopt takes over the tickets of a VM that leaves. It returns the incarnation of this VM as the successor, or 0 if
// this VM is itself handing its tickets over and can no longer take any.
func (s *Service) Adopt(_ context.Context, r *messenger.AdoptRequest) (*messenger.AdoptResult, error) {
	h, err := handoverFromWire(r)
	if err != nil {
		return nil, err
	}
	if !s.Tickets.Adopt(h) {
		return &messenger.AdoptResult{}, nil
	}
	return &messenger.AdoptResult{Successor: uint64(s.Self)}, nil
}

// membersFromWire leaves out members that cannot be decoded.
func membersFromWire(msgs []*messenger.Member) []gossiper.Member {
	var out []gossiper.Member
	for _, msg := range msgs {
		if m, err := gossiper.MemberFromWire(msg); err == nil {
			out = append(out, m)
		}
	}
	return out
}

// OutcomeFromWire returns the outcome of an order that another VM reported.
func OutcomeFromWire(r *messenger.OrderResult) ticketer.Outcome {
	return ticketer.Outcome{Kind: refuser.Kind(r.GetKind()), Detail: r.GetDetail(), Result: r.GetResult()}
}
