package server

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// callerConn is a connection of a caller under a guard.
type callerConn struct {
	net.Conn
	guard     *Guard
	holding   *limiter.Holding
	inHead    bool // the server reads the head of a request or waits for one
	headBytes int  // received since then
}

// Read reads from the connection. If the head of a request is too large, it refuses the request and reports the end of
// the connection. It also reports the end if the connection is evicted.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.inHead || n == 0 {
		return n, err
	}
	c.headBytes += n
	limit := c.guard.HeadLimit()
	if c.headBytes > limit.Bytes+HeadSlackBytes {
		c.refuse(refuser.New(limit.Kind, "the head of the request has more than %d bytes", limit.Bytes))
		return 0, io.EOF
	}
	if !c.holding.GrowHead(time.Now(), headCost(b[:n])) {
		return 0, io.EOF
	}
	return n, err
}

// Write writes a part of an answer, piece by piece, so that it is known when the caller last took one.
func (c *callerConn) Write(b []byte) (int, error) {
	c.holding.StartWrite(time.Now(), int64(len(b)))
	n := 0
	for {
		k, err := c.Conn.Write(b[n:min(n+WritePieceBytes, len(b))])
		n += k
		if err != nil || n == len(b) {
			return n, err
		}
		c.holding.StartWrite(time.Now(), 0)
	}
}

// headCost returns how much memory the server needs for bytes of a head.
func headCost(b []byte) int64 {
	return int64(len(b) + HeaderLineBytes*bytes.Count(b, []byte{'\n'}))
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.holding.Close()
	return c.Conn.Close()
}

// evict closes the connection, or makes the handler refuse the request whose body it reads.
func (c *callerConn) evict(refuse bool) {
	if !refuse {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(RefusalWait))
}

// CloseWrite closes the connection for writing, as the server does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setState says in which state the server counts the connection.
func (c *callerConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.inHead = false
		c.holding.StartBody(time.Now())
	case http.StateIdle:
		c.inHead, c.headBytes = true, 0
		c.holding.Finish(time.Now())
	}
}

// refuse writes a refusal in place of the server, which has not read the head to its end. It then reads on for a short
// time, because closing a connection with unread bytes may cost the caller the refusal.
func (c *callerConn) refuse(r *refuser.Refusal) {
	_ = c.Conn.SetDeadline(time.Now().Add(RefusalWait))
	body := r.Error() + "\n"
	res := http.Response{
		StatusCode: refuser.Lookup(r.Kind).Status, ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"text/plain"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	if after, ok := retryAfter(r); ok {
		res.Header.Set("Retry-After", after)
	}
	if res.Write(c.Conn) != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, RefusalReadBytes)
}
