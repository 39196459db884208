package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connStates knows in which state each connection of a server is, and since when.
type connStates struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// track makes the states follow the server's connections, beside what it already tells of them.
func track(s *http.Server) *connStates {
	c := &connStates{conns: map[net.Conn]connState{}}
	tell := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.changed(conn, state, time.Now())
		if tell != nil {
			tell(conn, state)
		}
	}
	return c
}

func (c *connStates) changed(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = connState{state, now}
}

// busy reports whether a connection has a request under way, or is so new that its first one may be.
func (c *connStates) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.conns {
		if s.state == http.StateActive || (s.state == http.StateNew && now.Sub(s.since) < FirstRequestWait) {
			return true
		}
	}
	return false
}

// closeUnused closes the connections on which no request was ever read.
func (c *connStates) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateNew {
			_ = conn.Close()
		}
	}
}
