package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connStates holds the state of each open connection of a server, and since when the connection is in that state.
type connStates struct {
	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// trackConns records the states of the server's connections from now on. A ConnState hook that the server already has
// is still called.
func trackConns(s *http.Server) *connStates {
	c := &connStates{conns: map[net.Conn]connState{}}
	hook := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.set(conn, state, time.Now())
		if hook != nil {
			hook(conn, state)
		}
	}
	return c
}

func (c *connStates) set(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = connState{state, now}
}

// busy reports whether any connection has a request under way, or is so new that its first request may be under way.
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

// closeUnused closes the connections on which no request was read.
func (c *connStates) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateNew {
			_ = conn.Close()
		}
	}
}
