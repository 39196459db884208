package faker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const overLimit = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 27\r\nConnection: close\r\n\r\n{\"kind\":\"connection-limit\"}"

// gate is a listener that counts connections against a limit, delays new ones and can silence or reset all open ones.
type gate struct {
	net.Listener
	limit   int
	setUp   time.Duration
	mu      sync.Mutex
	open    map[*line]bool
	most    int
	refused int
}

// line is one accepted connection.
type line struct {
	net.Conn
	gate   *gate
	ready  time.Time
	silent atomic.Bool
	once   sync.Once
}

// Accept returns the next connection within the limit.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		full := len(g.open) >= g.limit
		if full {
			g.refused++
			g.mu.Unlock()
			_, _ = c.Write([]byte(overLimit))
			_ = c.Close()
			continue
		}
		l := &line{Conn: c, gate: g, ready: time.Now().Add(g.setUp)}
		g.open[l] = true
		g.most = max(g.most, len(g.open))
		g.mu.Unlock()
		return l, nil
	}
}

// silence makes every open connection go silent for good.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.open {
		l.silent.Store(true)
	}
}

// reset closes the listener and resets every open connection, as a crash does.
func (g *gate) reset() {
	_ = g.Close()
	g.mu.Lock()
	lines := make([]*line, 0, len(g.open))
	for l := range g.open {
		lines = append(lines, l)
	}
	g.mu.Unlock()
	for _, l := range lines {
		if t, ok := l.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = l.Close()
	}
}

// Read waits for the set-up of a new connection, and for ever once the connection is silent.
func (l *line) Read(b []byte) (int, error) {
	if wait := time.Until(l.ready); wait > 0 {
		time.Sleep(wait)
	}
	for {
		n, err := l.Conn.Read(b)
		if err != nil || !l.silent.Load() {
			return n, err
		}
	}
}

// Write drops what is written to a silent connection.
func (l *line) Write(b []byte) (int, error) {
	if l.silent.Load() {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// Close closes the connection and frees its place.
func (l *line) Close() error {
	l.once.Do(func() {
		l.gate.mu.Lock()
		delete(l.gate.open, l)
		l.gate.mu.Unlock()
	})
	return l.Conn.Close()
}
