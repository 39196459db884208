package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Dialer manages the connections of one VM to all searchers.
type Dialer struct {
	mu        sync.Mutex
	pools     map[netip.AddrPort]*pool
	budget    func(netip.AddrPort) int
	now       func() time.Time
	dial      func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	onRetired func(addr netip.AddrPort, detail string)
	silence   silenceDetector
	wire      Wire
	answers   *answerRoom
	mayReset  func() bool // whether searchers may reset new connections, even if none did so lately
}

// Option changes a Dialer under construction.
type Option func(*Dialer)

// WithBudget sets the function that returns how many connections the VM may hold to a searcher.
func WithBudget(f func(netip.AddrPort) int) Option { return func(d *Dialer) { d.budget = f } }

// WithClock replaces time.Now as the clock.
func WithClock(f func() time.Time) Option { return func(d *Dialer) { d.now = f } }

// WithOnRetired sets a function that is called for each connection that is closed because no byte of an answer came
// before the call's context ended. Connections closed for another reason are not reported.
func WithOnRetired(f func(addr netip.AddrPort, detail string)) Option {
	return func(d *Dialer) { d.onRetired = f }
}

// WithWire sets the encoding of requests and answers; the default is NativeWire.
func WithWire(w Wire) Option { return func(d *Dialer) { d.wire = w } }

// WithProbation sets a function that reports whether searchers may reset new connections, even if none did so lately.
// While it returns true, each new connection must survive a probation before it is used.
func WithProbation(f func() bool) Option { return func(d *Dialer) { d.mayReset = f } }

// WithAnswerMemory bounds the memory, in bytes, of large answers that are being read at the same time; 0 is no bound. An
// answer for which there is no room yet is not read on until its call's context ends.
func WithAnswerMemory(n int64) Option { return func(d *Dialer) { d.answers = newAnswerRoom(n) } }

// NewDialer makes a dialer whose connections use local as their source address.
func NewDialer(local netip.Addr, options ...Option) *Dialer {
	netDialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0)), KeepAlive: -1, Control: SetTCPTimeouts}
	d := &Dialer{
		wire:      NativeWire(),
		pools:     map[netip.AddrPort]*pool{},
		budget:    func(netip.AddrPort) int { return 1 },
		now:       time.Now,
		onRetired: func(netip.AddrPort, string) {},
		mayReset:  func() bool { return false },
		dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return netDialer.DialContext(ctx, "tcp", addr.String())
		},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Call is one request to a searcher.
type Call struct {
	Address  netip.AddrPort
	Path     string
	Request  modeler.RequestID
	Attempt  string
	Index    modeler.IndexName
	Shard    modeler.ShardName
	Snapshot modeler.SnapshotID
	Deadline time.Time
	Body     []byte
	// ProvenOnly excludes idle connections that were not read from within ProvenPeriod.
	ProvenOnly bool
	// NewConnection excludes idle connections.
	// A call that waits for the budget may still get a connection that another call has just put back.
	NewConnection bool
	// Linger is how long Do still waits for the answer after its context has ended.
	Linger time.Duration
	// MaxBodyBytes limits the body of the answer, in bytes; 0 means MaxAnswerBytes.
	MaxBodyBytes int
	// ExpectedSearcher is the searcher that should have the address.
	ExpectedSearcher modeler.SearcherName
	// Allowed is asked right before the request is written, and by Dialer.TurnBackWaiters while the call waits for a
	// connection; nil allows it. The searcher may have begun to leave since it was picked, or have asked for no requests.
	Allowed func() bool
	// Message is the caller's request, for wires that pass it on.
	Message *Message

	onNewConn bool // set by Do: no other call has used the connection
}

func (c *Call) maxBodyBytes() int {
	if c.MaxBodyBytes == 0 {
		return MaxAnswerBytes
	}
	return c.MaxBodyBytes
}

// Message is the part of a caller's request that is passed on unchanged.
type Message struct {
	Method string
	Target string
	Host   string
	Header http.Header
}

// Reply is the result of a call.
type Reply struct {
	Fault    gatherer.Fault
	Body     []byte
	Draining bool
	Leaving  bool                 // the searcher leaves, and says so in all its answers from now on
	Withheld bool                 // Call.Allowed did not allow the request, or the VM dropped the searcher's connections
	Held     []modeler.SnapshotID // snapshots of the call's index that the searcher holds; nil if it did not say
	Late     bool                 // the deadline had passed before the request was sent or run
	Limit    modeler.RateLimit    // as the searcher states it in this answer
	// RetryAfter is how long the searcher wants no requests from this VM after it has refused this one; 0 if it didn't say.
	RetryAfter time.Duration
	AtLimit    bool // the searcher reset the new connection because other clients hold all that it allows
	Err        error

	// NativeWire leaves these empty.
	Status      int
	Signature   string
	ContentType string
}

// errWithheld reports a call that was not sent because Call.Allowed did not allow it, or the pool was closed.
var errWithheld = errors.New("the searcher leaves or has asked for no requests")

// Do sends a call on one connection and returns the result. It never sends the call a second time.
func (d *Dialer) Do(ctx context.Context, call Call) Reply {
	p := d.pool(call.Address)
	c, err := p.take(ctx, d.now(), d.silence.minLastRead(), idlePolicyOf(call), call.Allowed)
	if err != nil {
		return Reply{Fault: gatherer.FaultNotSent, AtLimit: errors.Is(err, errAtLimit), Withheld: errors.Is(err, errWithheld), Err: err}
	}
	if late := !d.now().Before(call.Deadline); late || ctx.Err() != nil {
		p.putUnused(c)
		return Reply{Fault: gatherer.FaultNotSent, Late: late, Err: context.Cause(ctx)}
	}
	if call.Allowed != nil && !call.Allowed() {
		p.putUnused(c)
		return Reply{Fault: gatherer.FaultNotSent, Withheld: true, Err: errWithheld}
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	d.wire.Fill(req, &call, call.Deadline.Sub(d.now()))
	res.SkipBody = req.Header.IsHead()
	sent := d.now()
	reserve, giveBack := d.answers.reservation(ctx)
	defer giveBack()
	c.reserve = reserve
	silent, err := c.exchange(ctx, req, res, call.Linger, call.maxBodyBytes())
	c.reserve = nil
	if err != nil {
		return Reply{Fault: d.handleFailure(ctx, p, c, sent, silent, err), Err: err}
	}
	call.onNewConn = c.isNew()
	r := d.decode(res, &call)
	if r.Fault == gatherer.FaultCrossed || r.Err != nil || c.hasUnreadBytes() {
		p.retire(c, false, time.Time{})
	} else {
		d.returnConn(p, c, res)
	}
	if r.Fault == gatherer.FaultNotSent {
		p.shrink(d.now())
	}
	return r
}

// decode decodes an answer. An answer on which the wire panics counts as corrupt, and its connection is closed.
func (d *Dialer) decode(res *fasthttp.Response, call *Call) (r Reply) {
	var err error
	defer func() {
		if err != nil {
			r = Reply{Fault: gatherer.FaultCorrupt, Err: err}
		}
	}()
	defer spawner.Recover("answer", &err)
	return d.wire.Read(res, call)
}

// returnConn puts a connection back into its pool, or closes it if the answer says that the searcher will.
func (d *Dialer) returnConn(p *pool, c *conn, res *fasthttp.Response) {
	if res.ConnectionClose() {
		p.retire(c, true, time.Time{})
		return
	}
	p.put(c, d.now())
}

// idlePolicyOf returns which idle connections the call may use.
func idlePolicyOf(c Call) idlePolicy {
	switch {
	case c.NewConnection:
		return newOnly
	case c.ProvenOnly:
		return provenIdle
	}
	return anyIdle
}

// handleFailure closes the connection of a failed exchange and returns the fault.
// silent means that no byte of an answer came. A searcher that crashes may have sent a part of its answer, so a connection
// that ends in an answer is lost like one that ends before it, unless the answer was malformed before the end.
func (d *Dialer) handleFailure(ctx context.Context, p *pool, c *conn, sent time.Time, silent bool, err error) gatherer.Fault {
	var malformed *headError
	if errors.As(err, &malformed) || (!silent && (ctx.Err() != nil || !c.hasEnded())) {
		p.retire(c, false, time.Time{})
		return gatherer.FaultCorrupt
	}
	if ctx.Err() == nil {
		if silent && c.isNew() {
			p.recordReset()
		}
		p.retire(c, true, time.Time{})
		return gatherer.FaultLost
	}
	minLastRead := time.Time{}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		// Idle connections that were not read from after this one may be silent too. A call that was cancelled before its
		// deadline excludes none.
		minLastRead = c.lastRead.Add(1)
	}
	p.retire(c, false, minLastRead)
	if p.answeredSince(sent) {
		d.silence.record(p.addr, sent, d.now())
	}
	d.onRetired(p.addr, "no byte for "+d.now().Sub(sent).Round(time.Millisecond).String())
	return gatherer.FaultSilent
}

// find returns the pool of a searcher, or nil if there is none yet.
func (d *Dialer) find(a netip.AddrPort) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pools[a]
}

// pool returns the pool of a searcher, and creates it if needed.
func (d *Dialer) pool(a netip.AddrPort) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[a]
	if p == nil {
		p = &pool{addr: a, dial: d.dial, now: d.now, mayReset: d.mayReset, limit: d.budget(a)}
		d.pools[a] = p
	}
	return p
}
