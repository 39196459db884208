package server

import (
	"net"
	"net/http"

	"github.com/pistachiogap/pistachiogap/refuser"
)

// HeadLimit bounds the request line and the headers of a request, and says how a larger head is refused.
type HeadLimit struct {
	Bytes int
	Kind  refuser.Kind
}

// Guard bounds what callers may make the connections of a port hold. It sees the bytes before the server's parser does,
// which keeps a head of any size until its end.
type Guard struct {
	HeadLimit func() HeadLimit // the one in force
}

// FixedHeadLimit returns a limit that never changes.
func FixedHeadLimit(n int) func() HeadLimit {
	return func() HeadLimit { return HeadLimit{n, refuser.HeaderTooLarge} }
}

// attach makes the server report the states of its connections to the guard. Hooks that the server already has are still
// called.
func (g *Guard) attach(s *http.Server) {
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
	return &callerConn{Conn: conn, guard: l.guard, inHead: true}, nil
}
