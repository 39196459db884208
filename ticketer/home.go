package ticketer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// Outcome is how a ticket ended: an empty kind with the result, or the kind of its refusal.
type Outcome struct {
	Kind   refuser.Kind
	Detail string
	Result []byte
}

// Decision says what to do with a request that carries a ticket.
type Decision uint8

// The decisions on a ticket.
const (
	Run Decision = iota
	Wait
	Answer
)

// Record is the state of one ticket that was begun.
type Record struct {
	Body    uint64
	Begun   time.Time
	Running bool
	Outcome Outcome
	done    chan struct{}
}

type id struct {
	home   Incarnation
	serial uint64
}

// Home holds the tickets that one incarnation may run, its own and those handed to it.
type Home struct {
	mu      sync.Mutex
	self    Incarnation
	serial  uint64
	records map[id]*Record
	adopted map[Incarnation]bool
	closed  bool
	atMost  bool
}

// NewHome makes the home of an incarnation that has issued nothing.
func NewHome(self Incarnation) *Home {
	return &Home{self: self, records: map[id]*Record{}, adopted: map[Incarnation]bool{}, atMost: true}
}

// WithoutRecords returns a home that forgets what it ran; tests use it to show that their check trips.
func WithoutRecords(h *Home) *Home {
	h.atMost = false
	return h
}

// Issue makes a ticket that this incarnation may run.
func (h *Home) Issue(now time.Time, service modeler.ServiceName) (Ticket, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return Ticket{}, false
	}
	h.serial++
	return Ticket{h.self, service, h.serial, now.Add(BeginWithin)}, true
}

// Owns reports whether this incarnation may run tickets of the named one.
func (h *Home) Owns(i Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && (i == h.self || h.adopted[i])
}

// Begin decides on a request with a ticket; after Run the caller must call End, after Wait it must read the channel and call Begin again.
func (h *Home) Begin(now time.Time, t Ticket, body uint64) (Decision, Outcome, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := id{t.Home, t.Serial}
	r := h.records[key]
	switch {
	case r == nil && h.closed:
		return Answer, Outcome{Kind: refuser.Draining, Detail: "the VM hands its tickets over"}, nil
	case r == nil && now.After(t.Expiry.Add(ResendWindow)):
		return Answer, Outcome{Kind: refuser.OutcomeUnknown, Detail: "the ticket's record is gone"}, nil
	case r == nil && now.After(t.Expiry):
		return Answer, Outcome{Kind: refuser.TicketExpired, Detail: "the ticket was never begun"}, nil
	case r == nil:
		return h.begin(now, key, body)
	case r.Body != body:
		return Answer, Outcome{Kind: refuser.TicketMismatch, Detail: "the ticket was used with another body"}, nil
	case r.Running:
		return Wait, Outcome{}, r.done
	}
	return Answer, r.Outcome, nil
}

func (h *Home) begin(now time.Time, key id, body uint64) (Decision, Outcome, <-chan struct{}) {
	if len(h.records) >= MaxRecords && !h.sweep(now) {
		return Answer, Outcome{Kind: refuser.Overloaded, Detail: "too many tickets are remembered"}, nil
	}
	if h.atMost {
		h.records[key] = &Record{Body: body, Begun: now, Running: true, done: make(chan struct{})}
	}
	return Run, Outcome{}, nil
}

// End records the outcome of a ticket; one that was proved not run may be begun again.
func (h *Home) End(t Ticket, o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := id{t.Home, t.Serial}
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

// sweep forgets the tickets whose resend window is over, and reports whether there were any.
func (h *Home) sweep(now time.Time) bool {
	n := len(h.records)
	for k, r := range h.records {
		if !r.Running && now.Sub(r.Begun) > BeginWithin+ResendWindow {
			delete(h.records, k)
		}
	}
	return len(h.records) < n
}

// Sweep forgets the tickets whose resend window is over.
func (h *Home) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(now)
}

// Handover is what a leaver gives its heir.
type Handover struct {
	From    Incarnation
	Adopted []Incarnation
	Records []HandedRecord
}

// HandedRecord is one ticket of a handover.
type HandedRecord struct {
	Home   Incarnation
	Serial uint64
	Record Record
}

// Close stops the home for good; it returns what an heir needs, or false while a ticket still runs.
func (h *Home) Close() (Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	out := Handover{From: h.self}
	for k, r := range h.records {
		if r.Running {
			return Handover{}, false
		}
		out.Records = append(out.Records, HandedRecord{k.home, k.serial, *r})
	}
	for i := range h.adopted {
		out.Adopted = append(out.Adopted, i)
	}
	slices.Sort(out.Adopted)
	slices.SortFunc(out.Records, func(a, b HandedRecord) int {
		return cmp.Or(cmp.Compare(a.Home, b.Home), cmp.Compare(a.Serial, b.Serial))
	})
	return out, true
}

// Adopt takes over the tickets of a leaver; it returns false once this home is itself closed.
func (h *Home) Adopt(o Handover) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	for _, r := range o.Records {
		record := r.Record
		record.done = make(chan struct{})
		close(record.done)
		h.records[id{r.Home, r.Serial}] = &record
	}
	h.adopted[o.From] = true
	for _, i := range o.Adopted {
		h.adopted[i] = true
	}
	return true
}

// Len returns how many tickets are remembered.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}
