package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is one HTTP/1.1 connection to a searcher that carries one request at a time.
type conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	lastRead time.Time
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c}
	k.r = bufio.NewReaderSize(c, readBufferSize)
	k.w = bufio.NewWriterSize(c, writeBufferSize)
	return k
}

// exchange sends one request and reads the whole answer; silent says that no byte of an answer came.
func (c *conn) exchange(ctx context.Context, req *http.Request) (res *http.Response, body []byte, silent bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := req.Write(c.w); err != nil {
		return nil, nil, true, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, nil, true, err
	}
	if _, err := c.r.Peek(1); err != nil {
		return nil, nil, true, err
	}
	res, err = http.ReadResponse(c.r, req)
	if err != nil {
		return nil, nil, false, err
	}
	body, err = readBody(res)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	return res, body, false, err
}

func readBody(res *http.Response) ([]byte, error) {
	defer func() { _ = res.Body.Close() }()
	if res.ContentLength > MaxAnswerBytes {
		return nil, errors.New("answer is too large")
	}
	if n := res.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes+1))
	if len(body) > MaxAnswerBytes {
		return nil, errors.New("answer is too large")
	}
	return body, err
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
