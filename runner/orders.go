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

// forward sends a submission to the VM responsible for the tickets of an incarnation: the incarnation itself or its
// successor. If no other VM is responsible, even after asking a few VMs for their members, the outcome of the order is
// unknown and stays so. This holds also if the successor is this VM, because FindResponsible looks only among the other
// VMs.
func (v *VM) forward(ctx context.Context, issuer ticketer.Incarnation, s orderer.Submission) ticketer.Outcome {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	synced := false
	for ctx.Err() == nil {
		m, ok := v.gossip.FindResponsible(issuer)
		if !ok && !synced {
			synced = true
			v.syncWithPeers(ctx, MaxJoinPeers)
			continue
		}
		if !ok {
			return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket is gone"}
		}
		// For a successor that is this VM: submit the order here once its tickets are adopted. FindResponsible returns
		// only other VMs, so this is reached only if another VM is listed with this VM's incarnation.
		if m.Incarnation == v.incarnation {
			if v.tickets.Owns(issuer) {
				return v.orderer.SubmitLocal(ctx, s)
			}
			spawner.Sleep(ctx, HandoverRetryPeriod)
			continue
		}
		res, err := v.relayClient.Peer(m.Address).Order(ctx, &messenger.OrderRequest{
			Service: string(s.Service), Ticket: s.Ticket, Body: s.Body, DeadlineMicros: time.Until(s.Deadline).Microseconds(),
		})
		if err == nil {
			return relayer.OutcomeFromWire(res)
		}
		spawner.Sleep(ctx, HandoverRetryPeriod)
	}
	return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket does not answer"}
}

// leave hands the tickets over to a VM that is alive, then announces the departure and the successor, and gives gossip
// time to spread both. Before that it waits, for the grace at most, until no order runs. A VM that serves routes
// issues no tickets and only announces its departure.
func (v *VM) leave(ctx context.Context) {
	if v.cfg.Routing != nil {
		v.gossip.Leave(nil)
		spawner.Sleep(ctx, RouteLeaveDelay)
		return
	}
	h, ok := v.tickets.Close()
	for deadline := time.Now().Add(v.cfg.Grace.Duration); !ok && time.Now().Before(deadline); h, ok = v.tickets.Close() {
		spawner.Sleep(ctx, HandoverRetryPeriod)
	}
	var successors []gossiper.Successor
	if ok && v.mechanisms.Handover {
		successors = v.handOver(ctx, h)
	}
	v.gossip.Leave(successors)
	spawner.Sleep(ctx, LeaveDelay)
}

// handOver gives the tickets to the first candidate that adopts them, and returns the successor to announce, if any.
func (v *VM) handOver(ctx context.Context, h ticketer.Handover) []gossiper.Successor {
	until := time.Now().Add(ticketer.BeginWithin + ticketer.ResendWindow)
	for _, m := range v.successorCandidates() {
		callCtx, cancel := context.WithTimeout(ctx, AdoptTimeout)
		res, err := v.relayClient.Peer(m.Address).Adopt(callCtx, relayer.HandoverToWire(h))
		cancel()
		if err != nil || res.GetSuccessor() == 0 {
			continue
		}
		successor := ticketer.Incarnation(res.GetSuccessor())
		v.recorder.Record(recorder.Event{Kind: recorder.TicketsHandedOver, Detail: string(m.Name)})
		return []gossiper.Successor{{From: h.From, To: successor, Until: until}}
	}
	return nil
}

// successorCandidates returns the other members that are alive (not suspect), beginning with those of this VM's failure
// domain.
func (v *VM) successorCandidates() []gossiper.Member {
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
