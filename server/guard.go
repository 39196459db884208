package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// Guard bounds what callers may make the connections of a port hold. It sees the bytes before the server's parser does,
// which keeps a head of any size until its end.
type Guard struct {
	HeadLimit func() HeadLimit // the one in force
	Intake    *limiter.Intake  // bounds what all connections hold together; nil if nothing does
}

// attach makes the server report the states of its connections and the ends of its requests to the guard. A ConnState
// hook that the server already has is still called.
func (g *Guard) attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*callerConn); ok {
			return context.WithValue(ctx, holdingKey{}, c.holding)
		}
		return ctx
	}
	s.Handler = releaseAfter(limitUnreadBody(s.Handler))
	hook := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*callerConn); ok {
			c.setState(state)
		}
		if hook != nil {
			hook(conn, state)
		}
	}
}

// open puts a new connection under the guard.
func (g *Guard) open(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, guard: g, inHead: true}
	if g.Intake != nil {
		c.holding = g.Intake.Open(time.Now(), c.evict)
	}
	return c
}

// endUnfinished ends the connections whose requests are not received whole in time for a planned stop.
func (g *Guard) endUnfinished() {
	if g != nil && g.Intake != nil {
		g.Intake.EvictUnfinished(time.Now(), FirstRequestWait)
	}
}

// holdingKey is the key of the holding in the contexts of a connection's requests.
type holdingKey struct{}

// holdingOf returns what the connection of the request holds, or nil if it is under no guard.
func holdingOf(r *http.Request) *limiter.Holding {
	h, _ := r.Context().Value(holdingKey{}).(*limiter.Holding)
	return h
}

// releaseAfter releases what a request holds as soon as it is served. The server itself keeps the request until it has
// closed the connection.
func releaseAfter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := holdingOf(r)
		defer func() {
			r.Header = nil
			h.Release(time.Now())
		}()
		next.ServeHTTP(w, r)
	})
}

// limitUnreadBody bounds the time in which the server reads a body that the handler does not read. The server does so
// before it answers, to use the connection again.
func limitUnreadBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// startRun returns a refusal if the request may not be served beside those that are being served.
func startRun(r *http.Request) error {
	if holdingOf(r).StartRun(time.Now()) {
		return nil
	}
	return refuser.New(refuser.Overloaded, "the requests that this VM serves leave no memory for it")
}

// guardedListener is a listener whose connections are under a guard.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.guard.open(conn), nil
}
