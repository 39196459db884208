package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
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

// errWithheld reports a call that was not sent because Call.Allowed did not allow it, or the pool was closed.
var errWithheld = errors.New("the searcher leaves or has asked for no requests")

// Do sends a call on one connection and returns the result. It never sends the call a second time.
func (d *Dialer) Do(ctx context.Context, call Call) Reply {
	p := d.pool(call.Address)
	c, err := p.take(ctx, d.now(), d.demandOf(&call))
	if err != nil {
		return Reply{Fault: gatherer.FaultNotSent, AtLimit: errors.Is(err, errAtLimit), Withheld: errors.Is(err, errWithheld), Err: err}
	}
	if r, unsent := d.withhold(ctx, &call); unsent {
		p.putUnused(c)
		return r
	}
	return d.send(ctx, p, c, &call)
}

// demandOf returns what the call needs of its connection.
func (d *Dialer) demandOf(call *Call) demand {
	return demand{policy: call.idlePolicy(), minLastRead: d.silence.minLastRead(), id: d.wire.answerID(call.Request), allowed: call.Allowed}
}

// send sends a call on the connection and reads the answer. It puts the connection back or closes it.
func (d *Dialer) send(ctx context.Context, p *pool, c *conn, call *Call) (r Reply) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	d.wire.Fill(req, call, call.Deadline.Sub(d.now()))
	res.SkipBody = req.Header.IsHead()
	sent, aliveAt := d.now(), c.aliveAt()
	c.carried.add(d.wire.answerID(call.Request))
	reserve, giveBack := d.answers.reservation(ctx)
	defer giveBack()
	c.reserve = reserve
	silent, err := c.exchange(ctx, req, res, call.Linger, call.maxBodyBytes())
	c.reserve = nil
	use := c.use()
	if err != nil {
		r = Reply{Fault: d.handleFailure(ctx, p, c, sent, silent, err), Err: err}
	} else {
		r = d.receive(p, c, res, call)
	}
	r.Use, r.AliveAt = use, aliveAt
	return r
}

// receive decodes the answer to a call, and puts its connection back or closes it.
func (d *Dialer) receive(p *pool, c *conn, res *fasthttp.Response, call *Call) Reply {
	call.onNewConn = c.isNew()
	r := d.decode(res, call)
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

// withhold returns the reply to a call that is not to be sent although it has a connection: its deadline has passed, its
// context has ended, or the searcher wants no requests.
func (d *Dialer) withhold(ctx context.Context, call *Call) (r Reply, unsent bool) {
	if late := !d.now().Before(call.Deadline); late || ctx.Err() != nil {
		return Reply{Fault: gatherer.FaultNotSent, Late: late, Err: context.Cause(ctx)}, true
	}
	if call.Allowed != nil && !call.Allowed() {
		return Reply{Fault: gatherer.FaultNotSent, Withheld: true, Err: errWithheld}, true
	}
	return Reply{}, false
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
