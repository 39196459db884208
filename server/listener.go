package server

import (
	"net"
	"sync"
	"time"
)

// queueListener is a listener that closes without cutting off the connections in its accept queue.
type queueListener struct {
	*net.TCPListener
	mu    sync.Mutex
	until time.Time // when it closes at the latest, once it is to close
}

// Accept returns the next connection. Once the listener is to close, it does so as soon as no connection waits.
func (l *queueListener) Accept() (net.Conn, error) {
	for {
		closing := l.extend()
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

// extend gives the next connection a little time to come, and reports whether the listener is to close after it.
func (l *queueListener) extend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.IsZero() {
		return false
	}
	_ = l.SetDeadline(earlier(l.until, time.Now().Add(QueueWait)))
	return true
}

func (l *queueListener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.until.IsZero()
}

// closeEmpty makes the listener accept what waits, and close once nothing does, at the time at the latest.
func (l *queueListener) closeEmpty(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = until
	_ = l.SetDeadline(time.Now())
}
