package orderer

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// MaxAttempts bounds the attempts of one order. Each attempt but the last was proved not to have run.
const MaxAttempts = 3

// Submission is one order as a caller or another VM submits it, with its ticket.
type Submission struct {
	Service  modeler.ServiceName
	Ticket   string
	Body     []byte
	Deadline time.Time
}

// Orderer sends the orders whose tickets this VM is responsible for to searchers, which run them. It forwards all
// other orders to the responsible VMs.
type Orderer struct {
	tickets      *ticketer.Registry
	signer       *ticketer.Signer
	dialer       *dialer.Dialer
	recorder     *recorder.Recorder
	view         func() *planner.View
	forward      func(ctx context.Context, issuer ticketer.Incarnation, s Submission) ticketer.Outcome
	random       func(n int) int
	requireProof bool
}

// Option changes an Orderer under construction.
type Option func(*Orderer)

// WithProof sets whether another attempt requires proof that the one before did not run, as it does by default.
// Tests switch this off to prove that their check detects an order that runs twice.
func WithProof(on bool) Option { return func(o *Orderer) { o.requireProof = on } }

// NewOrderer returns an Orderer. forward passes a submission to the VM that is responsible for the tickets
// of the issuer.
func NewOrderer(tickets *ticketer.Registry, s *ticketer.Signer, d *dialer.Dialer, r *recorder.Recorder, view func() *planner.View,
	forward func(ctx context.Context, issuer ticketer.Incarnation, s Submission) ticketer.Outcome, random func(n int) int, options ...Option,
) *Orderer {
	o := &Orderer{tickets: tickets, signer: s, dialer: d, recorder: r, view: view, forward: forward, random: random, requireProof: true}
	for _, f := range options {
		f(o)
	}
	return o
}

// Issue returns the text of a new ticket for the service. It sends nothing to a searcher.
func (o *Orderer) Issue(service modeler.ServiceName) (string, error) {
	if _, _, err := o.orderService(service); err != nil {
		return "", err
	}
	t, ok := o.tickets.Issue(time.Now(), service)
	if !ok {
		return "", refuser.New(refuser.Draining, "the VM is leaving")
	}
	text := o.signer.Format(t)
	o.recorder.Record(recorder.Event{Kind: recorder.TicketIssued, Request: modeler.RequestID(text), Detail: string(service)})
	return text, nil
}

// Submit runs an order on this VM, or forwards it to the VM that is responsible for its ticket.
func (o *Orderer) Submit(ctx context.Context, s Submission) ticketer.Outcome {
	t, err := o.signer.Parse(s.Ticket)
	if err != nil || t.Service != s.Service {
		return ticketer.Outcome{Kind: refuser.BadTicket, Detail: "no VM issued this ticket for this service"}
	}
	if o.tickets.Owns(t.Issuer) {
		return o.SubmitLocal(ctx, s)
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderForwarded, Request: modeler.RequestID(s.Ticket)})
	out := o.forward(ctx, t.Issuer, s)
	if out.Kind == refuser.OutcomeUnknown {
		o.recorder.Record(recorder.Event{Kind: recorder.OrderUnknown, Request: modeler.RequestID(s.Ticket), Detail: out.Detail})
	}
	return out
}

// SubmitLocal runs an order whose ticket this VM is responsible for. If the ticket has a record, because its order
// is under way or has ended, SubmitLocal waits for the end and returns the recorded outcome. It returns a refusal if
// the body differs from the recorded one, or if ticketer.Registry.Begin does not let the order begin, for instance
// because the ticket has expired. If this VM is not responsible for the ticket, or has ceased to be, it forwards the
// order.
func (o *Orderer) SubmitLocal(ctx context.Context, s Submission) ticketer.Outcome {
	t, err := o.signer.Parse(s.Ticket)
	if err != nil {
		return ticketer.Outcome{Kind: refuser.BadTicket, Detail: err.Error()}
	}
	if !o.tickets.Owns(t.Issuer) {
		return o.forward(ctx, t.Issuer, s)
	}
	bodyHash := xxhash.Sum64(s.Body)
	for {
		decision, out, done := o.tickets.Begin(time.Now(), t, bodyHash)
		switch decision {
		case ticketer.Run:
			// The order continues if the caller hangs up, so that its outcome gets recorded.
			out := o.run(context.WithoutCancel(ctx), s)
			o.tickets.End(t, out)
			return out
		case ticketer.Answer:
			return out
		}
		select {
		case <-done:
		case <-ctx.Done():
			return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the order still runs"}
		}
	}
}

// orderService returns a service that takes orders, and the view to whose searchers it refers.
func (o *Orderer) orderService(n modeler.ServiceName) (*planner.View, *planner.Service, error) {
	v := o.view()
	if v == nil || v.Position.IsZero() {
		return nil, nil, refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	i, ok := v.Service(n)
	if !ok || !v.Services[i].Orders {
		return nil, nil, refuser.New(refuser.UnknownService, "service %q takes no orders", n)
	}
	return v, &v.Services[i], nil
}

// run sends the order to one searcher at a time, at most MaxAttempts times, and skips searchers that take no requests now.
// It tries the next searcher only if the attempt before proved that the order did not run, or with WithProof(false)
// after any attempt that failed.
func (o *Orderer) run(ctx context.Context, s Submission) ticketer.Outcome {
	v, service, err := o.orderService(s.Service)
	if err != nil {
		refusal := refuser.From(err)
		return ticketer.Outcome{Kind: refusal.Kind, Detail: refusal.Detail}
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	// The argument is above 0 even without searchers. The offsets 0 and len(service.Searchers) start at the same one.
	offset := o.random(len(service.Searchers) + 1)
	out := ticketer.Outcome{Kind: refuser.OrderRefused, Detail: "no searcher took the order"}
	attempts := 0
	for i := range service.Searchers {
		searcher := &v.Searchers[service.Searchers[(i+offset)%len(service.Searchers)]]
		if attempts == MaxAttempts || !searcher.Health.AcceptsRequest(time.Now(), 0) {
			continue
		}
		var tryNext bool
		out, tryNext = o.attempt(ctx, s, searcher, attempts)
		attempts++
		if !tryNext {
			return out
		}
	}
	return out
}

// attempt sends the order to a searcher as attempt n, and returns whether the next searcher may be tried.
func (o *Orderer) attempt(ctx context.Context, s Submission, searcher *planner.Searcher, n int) (out ticketer.Outcome, tryNext bool) {
	id := modeler.RequestID(s.Ticket)
	attempt := s.Ticket + "." + strconv.Itoa(n)
	o.recorder.Record(recorder.Event{Kind: recorder.OrderSent, Request: id, Attempt: int32(n), Searcher: searcher.Name})
	searcher.Health.Begin(time.Now())
	reply := o.dialer.Do(ctx, dialer.Call{
		Address: searcher.Address, Path: "/v1/order", Request: id, Attempt: attempt, Deadline: s.Deadline, Body: s.Body, ProvenOnly: true,
		Allowed: func() bool { return searcher.Health.MaySend(time.Now()) },
	})
	// Orders, even answered ones, do not change the searcher's latency and failures.
	searcher.Health.Ended()
	if reply.Draining {
		searcher.Health.MarkDraining(time.Now())
	}
	if reply.RetryAfter > 0 {
		searcher.Health.BackOff(time.Now(), min(reply.RetryAfter, observer.DefaultMaxBackoff))
	}
	if reply.Fault == gatherer.FaultNone {
		return o.decodeAnswer(s, attempt, reply), false
	}
	if reply.Fault.NotRun() {
		return ticketer.Outcome{Kind: refuser.OrderRefused, Detail: "searchers refused the order before running it: " + reply.Fault.String()}, true
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderUnknown, Request: id, Fault: reply.Fault.String()})
	return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the searcher's answer was lost: " + reply.Fault.String()}, !o.requireProof
}

func (o *Orderer) decodeAnswer(s Submission, attempt string, reply dialer.Reply) ticketer.Outcome {
	answer, err := parser.DecodeStrict[dialer.OrderAnswer](reply.Body)
	if err != nil || string(answer.Request) != s.Ticket || answer.Attempt != attempt {
		return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the searcher's answer belongs to another order"}
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderDone, Request: modeler.RequestID(s.Ticket)})
	return ticketer.Outcome{Result: answer.Result}
}
