package ticketer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// Outcome is the outcome of a ticket's request: a Result with an empty Kind, or the Kind and Detail of a refusal.
type Outcome struct {
	Kind   refuser.Kind
	Detail string
	Result []byte
}

// Decision says what to do with a request that carries a ticket.
type Decision uint8

// The decisions on a request.
const (
	Run    Decision = iota // run the request and call End
	Wait                   // an earlier request with the ticket is running: wait until it ends
	Answer                 // answer with the returned outcome
)

// Record is the state of one ticket whose request has begun.
type Record struct {
	BodyHash uint64 // hash of the request body
	BegunAt  time.Time
	Running  bool
	Outcome  Outcome
	done     chan struct{}
}

type ticketID struct {
	issuer Incarnation
	serial uint64
}

// Registry issues the tickets of one incarnation and records the outcomes of all tickets that this incarnation may run:
// its own and those that it adopted from incarnations that left.
type Registry struct {
	mu           sync.Mutex
	self         Incarnation
	serial       uint64
	records      map[ticketID]*Record
	adopted      map[Incarnation]bool
	closed       bool
	keepsRecords bool
}

// NewRegistry returns an empty Registry for the incarnation self.
func NewRegistry(self Incarnation) *Registry {
	return &Registry{self: self, records: map[ticketID]*Record{}, adopted: map[Incarnation]bool{}, keepsRecords: true}
}

// WithoutRecords makes r keep no records and returns it. Tests use it to prove that they detect a ticket that
// runs twice.
func WithoutRecords(r *Registry) *Registry {
	r.keepsRecords = false
	return r
}

// Issue returns a new ticket that this incarnation may run, or false once r is closed.
func (r *Registry) Issue(now time.Time, service modeler.ServiceName) (Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return Ticket{}, false
	}
	r.serial++
	return Ticket{r.self, service, r.serial, now.Add(BeginWithin)}, true
}

// Owns reports whether this incarnation may run the tickets that incarnation i issued. It owns none once r is closed.
func (r *Registry) Owns(i Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.closed && (i == r.self || r.adopted[i])
}

// Begin decides on a request with a ticket and the hash of its body. After Run the caller must call End.
// After Wait it must wait until the returned channel is closed and then call Begin again.
func (r *Registry) Begin(now time.Time, t Ticket, bodyHash uint64) (Decision, Outcome, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := ticketID{t.Issuer, t.Serial}
	rec := r.records[key]
	switch {
	case rec == nil && r.closed:
		return Answer, Outcome{Kind: refuser.Draining, Detail: "the VM hands its tickets over"}, nil
	case rec == nil && now.After(t.Expiry.Add(ResendWindow)):
		return Answer, Outcome{Kind: refuser.OutcomeUnknown, Detail: "the ticket's record is gone"}, nil
	case rec == nil && now.After(t.Expiry):
		return Answer, Outcome{Kind: refuser.TicketExpired, Detail: "the ticket expired before its order started"}, nil
	case rec == nil:
		return r.begin(now, key, bodyHash)
	case rec.BodyHash != bodyHash:
		return Answer, Outcome{Kind: refuser.TicketMismatch, Detail: "the ticket was used with another body"}, nil
	case rec.Running:
		return Wait, Outcome{}, rec.done
	}
	return Answer, rec.Outcome, nil
}

func (r *Registry) begin(now time.Time, key ticketID, bodyHash uint64) (Decision, Outcome, <-chan struct{}) {
	if len(r.records) >= MaxRecords && !r.sweep(now) {
		return Answer, Outcome{Kind: refuser.Overloaded, Detail: "too many tickets are remembered"}, nil
	}
	if r.keepsRecords {
		r.records[key] = &Record{BodyHash: bodyHash, BegunAt: now, Running: true, done: make(chan struct{})}
	}
	return Run, Outcome{}, nil
}

// End records the outcome of a ticket's request. If the outcome proves that the request did not run, the ticket may
// begin again.
func (r *Registry) End(t Ticket, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := ticketID{t.Issuer, t.Serial}
	rec := r.records[key]
	if rec == nil {
		return
	}
	rec.Running, rec.Outcome = false, o
	close(rec.done)
	if o.Kind != "" && refuser.Lookup(o.Kind).NotRun == refuser.Yes {
		delete(r.records, key)
	}
}

// sweep removes the records whose requests began more than BeginWithin+ResendWindow ago and have ended, and reports
// whether it removed any. The resend windows of their tickets have then passed, because no request begins before its
// ticket is issued.
func (r *Registry) sweep(now time.Time) bool {
	n := len(r.records)
	for k, rec := range r.records {
		if !rec.Running && now.Sub(rec.BegunAt) > BeginWithin+ResendWindow {
			delete(r.records, k)
		}
	}
	return len(r.records) < n
}

// Sweep removes the records whose requests began more than BeginWithin+ResendWindow ago and have ended.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
}

// Handover is the state of tickets that an incarnation passes to its successor when it leaves.
type Handover struct {
	From    Incarnation
	Adopted []Incarnation // incarnations whose tickets From had adopted
	Records []HandoverRecord
}

// HandoverRecord is the record of one ticket in a Handover.
type HandoverRecord struct {
	Issuer Incarnation
	Serial uint64
	Record Record
}

// Close permanently stops r from issuing tickets and beginning requests. It returns the handover for a successor,
// or false while a request is running; the caller then calls it again.
func (r *Registry) Close() (Handover, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	out := Handover{From: r.self}
	for k, rec := range r.records {
		if rec.Running {
			return Handover{}, false
		}
		out.Records = append(out.Records, HandoverRecord{k.issuer, k.serial, *rec})
	}
	for i := range r.adopted {
		out.Adopted = append(out.Adopted, i)
	}
	slices.Sort(out.Adopted)
	slices.SortFunc(out.Records, func(a, b HandoverRecord) int {
		return cmp.Or(cmp.Compare(a.Issuer, b.Issuer), cmp.Compare(a.Serial, b.Serial))
	})
	return out, true
}

// Adopt takes over the tickets in a handover. It returns false if r is itself closed.
func (r *Registry) Adopt(handover Handover) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, hr := range handover.Records {
		rec := hr.Record
		rec.done = make(chan struct{})
		close(rec.done)
		r.records[ticketID{hr.Issuer, hr.Serial}] = &rec
	}
	r.adopted[handover.From] = true
	for _, i := range handover.Adopted {
		r.adopted[i] = true
	}
	return true
}

// Len returns the number of recorded tickets.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
