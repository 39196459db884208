package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// client sends requests one after the other on a connection that it keeps open.
type client struct {
	rec     *record
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// answer is what a client got; status 0 says that the connection ended without a complete answer.
type answer struct {
	request string
	status  int
	header  http.Header
	body    string
	err     error
}

var requestCount atomic.Int64

// nextID returns an id that no other request of this play has.
func nextID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestCount.Add(1))
}

// ask sends one request and reads the whole answer. On a fault it closes the connection; it never sends a request twice.
func (c *client) ask(method, host, path, body string, deadline time.Duration) answer {
	a := answer{request: nextID()}
	c.rec.add("send", "request=%s %s %s to=%s", a.request, method, path, c.address)
	a.err = c.exchange(&a, method, host, path, body, deadline)
	if a.err != nil {
		a.status = 0
		c.close()
	}
	c.rec.add("answer", "request=%s status=%d error=%v", a.request, a.status, a.err)
	return a
}

func (c *client) exchange(a *answer, method, host, path, body string, deadline time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n", method, path, host, a.request, deadline.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return err
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	a.status, a.header, a.body = res.StatusCode, res.Header, string(b)
	if res.Close {
		c.close()
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
