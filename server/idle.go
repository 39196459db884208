package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleConns closes callers' connections that are idle for longer than a limit. Unlike http.Server.IdleTimeout, the
// limit may change while the server runs.
type IdleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// OnStateChange records the new state of a connection; it is to be used as the hook http.Server.ConnState.
func (c *IdleConns) OnStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince == nil {
		c.idleSince = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// CloseIdle closes the connections that have been idle for longer than the limit; a limit of 0 closes none.
func (c *IdleConns) CloseIdle(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, t := range c.idleSince {
		if now.Sub(t) > limit {
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
