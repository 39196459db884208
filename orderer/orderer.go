package orderer

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// MaxAttempts bounds the attempts of one order, each but the last proved not run.
const MaxAttempts = 3

// Submission is one request with its ticket.
type Submission struct {
	Service  modeler.ServiceName
	Ticket   string
	Body     []byte
	Deadline time.Time
}

// Orderer runs the orders of one VM and forwards those of other incarnations.
type Orderer struct {
	home     *ticketer.Home
	signer   *ticketer.Signer
	dialer   *dialer.Dialer
	recorder *recorder.Recorder
	view     func() *planner.View
	forward  func(ctx context.Context, home ticketer.Incarnation, s Submission) ticketer.Outcome
	random   func(n int) int
	provenly bool
}

// Option changes an Orderer under construction.
type Option func(*Orderer)

// WithProof switches off the rule that only proof of not run allows a second attempt; tests use it to show that their check trips.
func WithProof(on bool) Option { return func(o *Orderer) { o.provenly = on } }

// NewOrderer makes an orderer; forward carries a submission to the VM that answers for an incarnation.
func NewOrderer(h *ticketer.Home, s *ticketer.Signer, d *dialer.Dialer, r *recorder.Recorder, view func() *planner.View,
	forward func(ctx context.Context, home ticketer.Incarnation, s Submission) ticketer.Outcome, random func(n int) int, options ...Option,
) *Orderer {
	o := &Orderer{home: h, signer: s, dialer: d, recorder: r, view: view, forward: forward, random: random, provenly: true}
	for _, f := range options {
		f(o)
	}
	return o
}

// Issue returns the text of a new ticket for the service; nothing has run.
func (o *Orderer) Issue(service modeler.ServiceName) (string, error) {
	if _, err := o.service(service); err != nil {
		return "", err
	}
	t, ok := o.home.Issue(time.Now(), service)
	if !ok {
		return "", refuser.New(refuser.Draining, "the VM is leaving")
	}
	text := o.signer.Format(t)
	o.recorder.Record(recorder.Event{Kind: recorder.TicketIssued, Request: modeler.RequestID(text), Detail: string(service)})
	return text, nil
}

// Submit runs a submission here, or forwards it to the incarnation that answers for its ticket.
func (o *Orderer) Submit(ctx context.Context, s Submission) ticketer.Outcome {
	t, err := o.signer.Parse(s.Ticket)
	if err != nil || t.Service != s.Service {
		return ticketer.Outcome{Kind: refuser.BadTicket, Detail: "no VM issued this ticket for this service"}
	}
	if o.home.Owns(t.Home) {
		return o.Local(ctx, s)
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderForwarded, Request: modeler.RequestID(s.Ticket)})
	out := o.forward(ctx, t.Home, s)
	if out.Kind == refuser.OutcomeUnknown {
		o.recorder.Record(recorder.Event{Kind: recorder.OrderUnknown, Request: modeler.RequestID(s.Ticket), Detail: out.Detail})
	}
	return out
}

// Local runs a submission whose ticket this incarnation answers for, or returns what it came to before.
func (o *Orderer) Local(ctx context.Context, s Submission) ticketer.Outcome {
	t, err := o.signer.Parse(s.Ticket)
	if err != nil {
		return ticketer.Outcome{Kind: refuser.BadTicket, Detail: err.Error()}
	}
	if !o.home.Owns(t.Home) {
		return o.forward(ctx, t.Home, s)
	}
	body := xxhash.Sum64(s.Body)
	for {
		decision, out, done := o.home.Begin(time.Now(), t, body)
		switch decision {
		case ticketer.Run:
			out := o.run(context.WithoutCancel(ctx), s)
			o.home.End(t, out)
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

func (o *Orderer) service(n modeler.ServiceName) (*planner.Service, error) {
	v := o.view()
	if v == nil || v.Revision == 0 {
		return nil, refuser.New(refuser.Unconfigured, "no configuration is in force yet")
	}
	i, ok := v.Service(n)
	if !ok || !v.Services[i].Orders {
		return nil, refuser.New(refuser.UnknownService, "service %q takes no orders", n)
	}
	return &v.Services[i], nil
}

// run sends the order to one searcher; to another only when the one before proved that it ran nothing.
func (o *Orderer) run(ctx context.Context, s Submission) ticketer.Outcome {
	service, err := o.service(s.Service)
	if err != nil {
		r := refuser.From(err)
		return ticketer.Outcome{Kind: r.Kind, Detail: r.Detail}
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	v := o.view()
	offset := o.random(len(service.Searchers) + 1)
	out := ticketer.Outcome{Kind: refuser.OrderRefused, Detail: "no searcher took the order"}
	tried := 0
	for i := range service.Searchers {
		r := &v.Searchers[service.Searchers[(i+offset)%len(service.Searchers)]]
		if tried == MaxAttempts || r.Health.Draining(time.Now()) {
			continue
		}
		var again bool
		out, again = o.attempt(ctx, s, r, tried)
		tried++
		if !again {
			return out
		}
	}
	return out
}

func (o *Orderer) attempt(ctx context.Context, s Submission, r *planner.Searcher, n int) (out ticketer.Outcome, again bool) {
	id := modeler.RequestID(s.Ticket)
	attempt := s.Ticket + "." + strconv.Itoa(n)
	o.recorder.Record(recorder.Event{Kind: recorder.OrderSent, Request: id, Attempt: int32(n), Searcher: r.Name})
	r.Health.Begin(time.Now())
	reply := o.dialer.Do(ctx, dialer.Call{
		Address: r.Address, Path: "/v1/order", Request: id, Attempt: attempt, Deadline: s.Deadline, Body: s.Body, Proven: true,
	})
	r.Health.Ended()
	if reply.Draining {
		r.Health.Drain(time.Now())
	}
	if reply.Fault == gatherer.FaultNone {
		return o.read(s, attempt, reply), false
	}
	if reply.Fault.NotRun() {
		return ticketer.Outcome{Kind: refuser.OrderRefused, Detail: "searchers refused the order before running it: " + reply.Fault.String()}, true
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderUnknown, Request: id, Fault: reply.Fault.String()})
	return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the searcher's answer was lost: " + reply.Fault.String()}, !o.provenly
}

func (o *Orderer) read(s Submission, attempt string, reply dialer.Reply) ticketer.Outcome {
	answer, err := parser.DecodeStrict[dialer.OrderAnswer](reply.Body)
	if err != nil || string(answer.Request) != s.Ticket || answer.Attempt != attempt {
		return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the searcher's answer belongs to another order"}
	}
	o.recorder.Record(recorder.Event{Kind: recorder.OrderDone, Request: modeler.RequestID(s.Ticket)})
	return ticketer.Outcome{Result: answer.Result}
}
