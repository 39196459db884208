package dialer

import (
	"context"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/parser"
)

// Ping asks the searcher's load endpoint so that a silent connection is found before a request uses it.
// It prefers the idle connection unread for longest, if it has been unread for at least ProvenPeriod;
// otherwise it uses any idle connection or a new one.
func (d *Dialer) Ping(ctx context.Context, addr netip.AddrPort, timeout time.Duration) (Load, error) {
	p := d.pool(addr)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := p.oldestIdle(d.now())
	if c == nil {
		var err error
		if c, err = p.take(ctx, d.now(), demand{policy: anyIdle, minLastRead: d.silence.minLastRead()}); err != nil {
			return Load{}, err
		}
	}
	return d.load(ctx, p, c)
}

// load asks the searcher's load endpoint on the connection.
func (d *Dialer) load(ctx context.Context, p *pool, c *conn) (Load, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("/load")
	req.Header.SetHost(p.addr.String())
	req.Header.SetUserAgent(userAgent)
	sent := d.now()
	if silent, err := c.exchange(ctx, req, res, 0, MaxAnswerBytes); err != nil {
		d.handleFailure(ctx, p, c, sent, silent, err)
		return Load{}, err
	}
	d.returnConn(p, c, res)
	if res.StatusCode() != fasthttp.StatusOK {
		return Load{}, &loadStatusError{res.StatusCode()}
	}
	return parser.DecodeStrict[Load](res.Body())
}

// loadStatusError reports a load endpoint that answered with a status other than 200.
type loadStatusError struct{ status int }

// Error implements error.
func (e *loadStatusError) Error() string {
	return "load endpoint answered a status other than 200: " + strconv.Itoa(e.status)
}

// Liveness is the result of Dialer.Check.
type Liveness uint8

// Results of a check.
const (
	Unclear Liveness = iota // neither of the below within the timeout
	Alive                   // the searcher answered, or accepted a connection if it has no load endpoint
	Dead                    // the connection was refused or reset
)

// Check tests whether a searcher is alive. It takes a connection as a call with NewConnection does and asks the
// searcher's load endpoint, if it has one.
func (d *Dialer) Check(ctx context.Context, addr netip.AddrPort, timeout time.Duration) Liveness {
	p := d.pool(addr)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := p.take(ctx, d.now(), demand{policy: newOnly})
	switch {
	case err != nil:
	case d.wire.HasLoad:
		_, err = d.load(ctx, p, c)
	default:
		p.put(c, d.now())
	}
	var statusErr *loadStatusError
	switch {
	case err == nil, errors.As(err, &statusErr):
		return Alive
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded):
		// The socket's deadline may fire before the context's.
		return Unclear
	}
	return Dead
}
