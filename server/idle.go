package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleConns closes callers' connections that stay idle for longer than a limit that may change.
type IdleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// Changed takes in the new state of a connection, as a hook of http.Server.
func (c *IdleConns) Changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since == nil {
		c.since = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// Close closes the connections that have been idle for longer than the limit.
func (c *IdleConns) Close(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, t := range c.since {
		if now.Sub(t) > limit {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}
