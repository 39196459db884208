package dialer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// conn is one HTTP/1.1 connection to a searcher that carries one request at a time.
type conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	lastRead time.Time
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// acquire gives the connection the buffers that it needs while in use.
func (c *conn) acquire() {
	if c.r != nil {
		return
	}
	c.r = readers.Get().(*bufio.Reader)
	c.r.Reset(c.Conn)
	c.w = writers.Get().(*bufio.Writer)
	c.w.Reset(c.Conn)
}

// release gives the buffers of an idle or closed connection back.
func (c *conn) release() {
	if c.r == nil {
		return
	}
	c.r.Reset(nil)
	readers.Put(c.r)
	c.w.Reset(nil)
	writers.Put(c.w)
	c.r, c.w = nil, nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// hasUnreadBytes reports whether bytes came after the answer.
func (c *conn) hasUnreadBytes() bool { return c.r != nil && c.r.Buffered() > 0 }

// exchange sends one request and reads the whole answer; silent says that no byte of an answer came. Once the context ends it waits for no longer than the linger, so that a connection is not lost for an answer that is nearly there.
func (c *conn) exchange(ctx context.Context, req *fasthttp.Request, res *fasthttp.Response, linger time.Duration, most int) (silent bool, err error) {
	c.acquire()
	cut := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Now().Add(linger))
		close(cut)
	})
	silent, err = c.transfer(req, res, most)
	if !stop() {
		<-cut
		_ = c.SetDeadline(time.Time{})
	}
	return silent, err
}

func (c *conn) transfer(req *fasthttp.Request, res *fasthttp.Response, most int) (silent bool, err error) {
	defer spawner.Recover("exchange", &err)
	if err := req.Write(c.w); err != nil {
		return true, err
	}
	if err := c.w.Flush(); err != nil {
		return true, err
	}
	if _, err := c.r.Peek(1); err != nil {
		return true, err
	}
	// The line end of a chunk is read into the buffer of the body, which doubles when it is full.
	return false, res.ReadLimitBody(c.r, most-len("\r\n"))
}

// stale reports whether the other end closed the idle connection or sent something unasked.
func (c *conn) stale() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	var b [1]byte
	err = sc.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		stale = err != syscall.EAGAIN && err != syscall.EINTR
		return true
	})
	return err != nil || stale
}
