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

// NewRegistry returns a Home for an incarnation that has issued no tickets.
func NewRegistry(self Incarnation) *Registry {
	return &Registry{self: self, records: map[ticketID]*Record{}, adopted: map[Incarnation]bool{}, keepsRecords: true}
}

// WithoutRecords makes h keep no records and returns it. Tests use it to show that their at-most-once check then fails.
func WithoutRecords(h *Registry) *Registry {
	h.keepsRecords = false
	return h
}

// Issue returns a new ticket that this incarnation may run, or false once h is closed.
func (h *Registry) Issue(now time.Time, service modeler.ServiceName) (Ticket, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return Ticket{}, false
	}
	h.serial++
	return Ticket{h.self, service, h.serial, now.Add(BeginWithin)}, true
}

// Owns reports whether this incarnation may run the tickets that incarnation i issued.
func (h *Registry) Owns(i Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && (i == h.self || h.adopted[i])
}

// Begin decides on a request with a ticket and the hash of its body. After Run the caller must call End.
// After Wait it must wait until the returned channel is closed and then call Begin again.
func (h *Registry) Begin(now time.Time, t Ticket, bodyHash uint64) (Decision, Outcome, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := ticketID{t.Issuer, t.Serial}
	r := h.records[key]
	switch {
	case r == nil && h.closed:
		return Answer, Outcome{Kind: refuser.Draining, Detail: "the VM hands its tickets over"}, nil
	case r == nil && now.After(t.Expiry.Add(ResendWindow)):
		return Answer, Outcome{Kind: refuser.OutcomeUnknown, Detail: "the ticket's record is gone"}, nil
	case r == nil && now.After(t.Expiry):
		return Answer, Outcome{Kind: refuser.TicketExpired, Detail: "the ticket was never begun"}, nil
	case r == nil:
		return h.begin(now, key, bodyHash)
	case r.BodyHash != bodyHash:
		return Answer, Outcome{Kind: refuser.TicketMismatch, Detail: "the ticket was used with another body"}, nil
	case r.Running:
		return Wait, Outcome{}, r.done
	}
	return Answer, r.Outcome, nil
}

func (h *Registry) begin(now time.Time, key ticketID, bodyHash uint64) (Decision, Outcome, <-chan struct{}) {
	if len(h.records) >= MaxRecords && !h.sweep(now) {
		return Answer, Outcome{Kind: refuser.Overloaded, Detail: "too many tickets are remembered"}, nil
	}
	if h.keepsRecords {
		h.records[key] = &Record{BodyHash: bodyHash, BegunAt: now, Running: true, done: make(chan struct{})}
	}
	return Run, Outcome{}, nil
}

// End records the outcome of a ticket's request. If the outcome proves that the request did not run, the ticket may
// begin again.
func (h *Registry) End(t Ticket, o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := ticketID{t.Issuer, t.Serial}
	r := h.records[key]
	if r == nil {
		return
	}
	r.Running, r.Outcome = false, o
	close(r.done)
	if o.Kind != "" && refuser.Lookup(o.Kind).NotRun == refuser.Yes {
		delete(h.records, key)
	}
}

// sweep removes the records whose resend window has passed, and reports whether it removed any.
func (h *Registry) sweep(now time.Time) bool {
	n := len(h.records)
	for k, r := range h.records {
		if !r.Running && now.Sub(r.BegunAt) > BeginWithin+ResendWindow {
			delete(h.records, k)
		}
	}
	return len(h.records) < n
}

// Sweep removes the records whose resend window has passed.
func (h *Registry) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(now)
}

// Handover is what an incarnation that leaves passes to its successor.
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

// Close permanently stops h from issuing tickets and beginning requests. It returns the handover for a successor,
// or false while a request is running; the caller then calls it again.
func (h *Registry) Close() (Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	out := Handover{From: h.self}
	for k, r := range h.records {
		if r.Running {
			return Handover{}, false
		}
		out.Records = append(out.Records, HandoverRecord{k.issuer, k.serial, *r})
	}
	for i := range h.adopted {
		out.Adopted = append(out.Adopted, i)
	}
	slices.Sort(out.Adopted)
	slices.SortFunc(out.Records, func(a, b HandoverRecord) int {
		return cmp.Or(cmp.Compare(a.Issuer, b.Issuer), cmp.Compare(a.Serial, b.Serial))
	})
	return out, true
}

// Adopt takes over the tickets of an incarnation that leaves. It returns false if h is itself closed.
func (h *Registry) Adopt(o Handover) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	for _, r := range o.Records {
		record := r.Record
		record.done = make(chan struct{})
		close(record.done)
		h.records[ticketID{r.Issuer, r.Serial}] = &record
	}
	h.adopted[o.From] = true
	for _, i := range o.Adopted {
		h.adopted[i] = true
	}
	return true
}

// Len returns the number of recorded tickets.
func (h *Registry) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}
