package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connectionLimitResponse is written to a connection over the limit before it is closed.
const connectionLimitResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 27\r\nConnection: close\r\n\r\n{\"kind\":\"connection-limit\"}"

// faultListener is a listener that refuses connections over a limit, delays the first read of new ones, and can silence
// or reset all open ones.
type faultListener struct {
	net.Listener
	limit        int
	setUpDelay   time.Duration
	mu           sync.Mutex
	openConns    map[*faultConn]bool
	peakOpen     int
	refusedConns int
}

// faultConn is a connection that a faultListener accepted.
type faultConn struct {
	net.Conn
	listener  *faultListener
	readyAt   time.Time
	silent    atomic.Bool
	closeOnce sync.Once
}

// Accept returns the next connection within the limit. It writes connectionLimitResponse to connections over the limit and
// closes them.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := len(l.openConns) >= l.limit
		if full {
			l.refusedConns++
			l.mu.Unlock()
			_, _ = c.Write([]byte(connectionLimitResponse))
			_ = c.Close()
			continue
		}
		conn := &faultConn{Conn: c, listener: l, readyAt: time.Now().Add(l.setUpDelay)}
		l.openConns[conn] = true
		l.peakOpen = max(l.peakOpen, len(l.openConns))
		l.mu.Unlock()
		return conn, nil
	}
}

// silence makes every open connection silent until it is closed.
func (l *faultListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		c.silent.Store(true)
	}
}

// reset closes the listener and resets every open connection, as a crash does.
func (l *faultListener) reset() {
	_ = l.Close()
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.openConns))
	for c := range l.openConns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Read waits until the set-up delay of the connection has passed. On a silent connection it discards the data
// and returns only when the connection ends.
func (c *faultConn) Read(b []byte) (int, error) {
	if wait := time.Until(c.readyAt); wait > 0 {
		time.Sleep(wait)
	}
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards b if the connection is silent, and reports success.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, which no longer counts against the limit.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.openConns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
