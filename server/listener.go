package server

import (
	"net"
	"sync"
	"time"
)

// drainingListener is a TCP listener that accepts the connections in its accept queue before it closes; closing it at
// once would cut them off.
type drainingListener struct {
	*net.TCPListener
	mu            sync.Mutex
	closeDeadline time.Time // latest time to close; zero until closeWhenEmpty is called
}

// Accept returns the next connection. After closeWhenEmpty it closes the listener as soon as the accept queue is empty.
func (l *drainingListener) Accept() (net.Conn, error) {
	for {
		closing := l.extendDeadline()
		conn, err := l.TCPListener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case closing:
			_ = l.Close()
			return nil, net.ErrClosed
		case !l.isClosing():
			return nil, err
		}
	}
}

// extendDeadline reports whether the listener is closing. If it is, the next connection gets AcceptQueueWait to arrive,
// up to the close deadline.
func (l *drainingListener) extendDeadline() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeDeadline.IsZero() {
		return false
	}
	_ = l.SetDeadline(earlierTime(l.closeDeadline, time.Now().Add(AcceptQueueWait)))
	return true
}

func (l *drainingListener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closeDeadline.IsZero()
}

// closeWhenEmpty makes the listener accept the waiting connections and then close, at the deadline at the latest. An
// Accept that waits is woken by an accept deadline in the past.
func (l *drainingListener) closeWhenEmpty(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeDeadline = deadline
	_ = l.SetDeadline(time.Now())
}
