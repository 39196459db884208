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

// conn is an HTTP/1.1 connection to a searcher. It carries one request at a time.
type conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	openedAt time.Time
	lastRead time.Time // of the last answer, or when a new connection was first kept as idle; zero until then
	received int       // bytes of the answer that is being read
	reserve  reserveFunc
	uses     int // requests that were sent
	carried  carriedIDs
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

// aliveAt returns when the searcher last answered on the connection, or accepted it.
func (c *conn) aliveAt() time.Time {
	if c.lastRead.After(c.openedAt) {
		return c.lastRead
	}
	return c.openedAt
}

// use identifies the last use of the connection.
func (c *conn) use() ConnUse {
	u := ConnUse{Number: c.uses}
	if a, ok := c.LocalAddr().(*net.TCPAddr); ok {
		u.Local = a.AddrPort()
	}
	return u
}

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// acquire takes the buffers that a connection needs while in use from their pools.
func (c *conn) acquire() {
	if c.r != nil {
		return
	}
	c.r = readers.Get().(*bufio.Reader)
	c.r.Reset(answerReader{c})
	c.w = writers.Get().(*bufio.Writer)
	c.w.Reset(c.Conn)
}

// release returns the buffers of an idle or closed connection to their pools.
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

// Close releases the buffers and closes the connection.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// hasUnreadBytes reports whether the searcher sent bytes after the answer that was read.
func (c *conn) hasUnreadBytes() bool { return c.r != nil && c.r.Buffered() > 0 }

// exchange sends one request, releases it, and reads the whole answer, whose body may have up to maxBody-2 bytes; see transfer.
// silent means that no byte of an answer came. After the context ends, exchange waits for up to linger,
// so that the connection is not lost because of an answer that is about to arrive.
func (c *conn) exchange(ctx context.Context, req *fasthttp.Request, res *fasthttp.Response, linger time.Duration, maxBody int) (silent bool, err error) {
	c.acquire()
	c.uses++
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Now().Add(linger))
		close(deadlineSet)
	})
	silent, err = c.transfer(req, res, maxBody)
	if !stop() {
		<-deadlineSet
		_ = c.SetDeadline(time.Time{})
	}
	return silent, err
}

// transfer writes the request and reads the answer. The request is released in between, because it may hold a large copy
// of its caller's headers, and the answer may take long.
func (c *conn) transfer(req *fasthttp.Request, res *fasthttp.Response, maxBody int) (silent bool, err error) {
	defer spawner.Recover("exchange", &err)
	c.received = 0
	err = c.write(req)
	fasthttp.ReleaseRequest(req)
	if err != nil {
		return true, err
	}
	if _, err := c.r.Peek(1); err != nil {
		return true, err
	}
	// fasthttp reads the line end of a chunk into the body's buffer, which doubles when it is full:
	// the body's limit leaves room for the line end.
	return false, readAnswer(c.r, res, maxBody-len("\r\n"), c.reserve)
}

func (c *conn) write(req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// hasEnded reports whether the searcher closed or reset the connection, and all its bytes were received.
func (c *conn) hasEnded() bool {
	n, ok, err := c.readNow()
	return ok && n <= 0 && !isTemporary(err)
}

// stale reports whether the searcher closed the idle connection or sent bytes that no request asked for.
func (c *conn) stale() bool {
	_, ok, err := c.readNow()
	return ok && !isTemporary(err)
}

// isTemporary reports whether a read found an open connection without bytes.
func isTemporary(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }

// readNow reads a byte of the connection without waiting for it. ok is false if the connection has no file descriptor.
func (c *conn) readNow() (n int, ok bool, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	sc, err := raw.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var b [1]byte
	readErr := sc.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b[:])
		return true
	})
	if readErr != nil {
		return 0, true, readErr
	}
	return n, true, err
}
