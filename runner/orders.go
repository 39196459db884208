package runner

import (
	"context"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/relayer"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// forward carries a submission to the VM that answers for an incarnation; without one the outcome is unknown for good.
func (v *VM) forward(ctx context.Context, home ticketer.Incarnation, s orderer.Submission) ticketer.Outcome {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	asked := false
	for ctx.Err() == nil {
		m, ok := v.gossip.Find(home)
		if !ok && !asked {
			asked = true
			v.syncSome(ctx, JoinPeers)
			continue
		}
		if !ok {
			return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket is gone"}
		}
		if m.Incarnation == v.incarnation {
			if v.home.Owns(home) {
				return v.orderer.Local(ctx, s)
			}
			spawner.Sleep(ctx, HandoverWait)
			continue
		}
		res, err := v.relays.Peer(m.Address).Order(ctx, &messenger.OrderRequest{
			Service: string(s.Service), Ticket: s.Ticket, Body: s.Body, DeadlineMicros: time.Until(s.Deadline).Microseconds(),
		})
		if err == nil {
			return relayer.Outcome(res)
		}
		spawner.Sleep(ctx, HandoverWait)
	}
	return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket does not answer"}
}

// leave hands the tickets over to a live VM and then tells the others who answers for them.
func (v *VM) leave(ctx context.Context) {
	if v.cfg.Routing != nil {
		v.gossip.Leave(nil)
		spawner.Sleep(ctx, RouteLeaveLinger)
		return
	}
	h, ok := v.home.Close()
	for deadline := time.Now().Add(v.cfg.Grace.Duration); !ok && time.Now().Before(deadline); h, ok = v.home.Close() {
		spawner.Sleep(ctx, HandoverWait)
	}
	var heirs []gossiper.Heir
	if ok && v.mechanisms.Handover {
		heirs = v.handOver(ctx, h)
	}
	v.gossip.Leave(heirs)
	spawner.Sleep(ctx, LeaveLinger)
}

func (v *VM) handOver(ctx context.Context, h ticketer.Handover) []gossiper.Heir {
	until := time.Now().Add(ticketer.BeginWithin + ticketer.ResendWindow)
	for _, m := range v.heirCandidates() {
		call, cancel := context.WithTimeout(ctx, AdoptTimeout)
		res, err := v.relays.Peer(m.Address).Adopt(call, relayer.HandoverToWire(h))
		cancel()
		if err != nil || res.GetHeir() == 0 {
			continue
		}
		heir := ticketer.Incarnation(res.GetHeir())
		v.recorder.Record(recorder.Event{Kind: recorder.TicketsHandedOver, Detail: string(m.Name)})
		return []gossiper.Heir{{From: h.From, To: heir, Until: until}}
	}
	return nil
}

// heirCandidates returns live members, those of the own failure domain first.
func (v *VM) heirCandidates() []gossiper.Member {
	var near, far []gossiper.Member
	for _, m := range v.gossip.Members() {
		switch {
		case m.State != gossiper.Alive || m.Name == v.cfg.Name:
		case m.Domain == v.cfg.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return slices.Concat(near, far)
}
