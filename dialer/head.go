package dialer

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"

	"github.com/valyala/fasthttp"
)

// headError reports a head that is not that of an answer. Nothing is concluded from such an answer: neither whose it is
// nor whether the request ran.
type headError struct {
	problem string
	line    []byte
}

// Error implements error.
func (e *headError) Error() string {
	return fmt.Sprintf("malformed head: %s: %.80q", e.problem, e.line)
}

// readAnswer reads one answer after any informational ones, whose heads it discards. The library reads a status of 000
// as 200, so each head is checked before the library sees it.
func readAnswer(r *bufio.Reader, res *fasthttp.Response, maxBody int) error {
	for {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		status, err := parseHead(head)
		if err != nil {
			return err
		}
		if status >= http.StatusOK {
			return res.ReadLimitBody(r, maxBody)
		}
		_, _ = r.Discard(len(head))
	}
}

// peekHead returns the next head, with empty lines before it and the one that ends it, and leaves it in the reader. The
// error is bufio.ErrBufferFull if it is longer than the reader's buffer.
func peekHead(r *bufio.Reader) ([]byte, error) {
	headEnd := []byte("\r\n\r\n")
	for {
		b, _ := r.Peek(r.Buffered())
		start := len(b) - len(bytes.TrimLeft(b, "\r\n"))
		if i := bytes.Index(b[start:], headEnd); i >= 0 {
			return b[:start+i+len(headEnd)], nil
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// parseHead returns the status of a head. The error is a *headError if no answer can have it.
func parseHead(head []byte) (status int, err error) {
	statusLine, _, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	statusLine = bytes.TrimSuffix(statusLine, []byte("\r"))
	status, ok := parseStatus(statusLine)
	switch {
	case !ok:
		return 0, &headError{"no status of 100 to 999", statusLine}
	case status == http.StatusSwitchingProtocols:
		return 0, &headError{"another protocol, for which no request asks", statusLine}
	}
	return status, nil
}

// parseStatus returns the status of a status line; ok is false if it is not a number from 100 to 999. The library checks
// the rest of the line.
func parseStatus(statusLine []byte) (status int, ok bool) {
	_, rest, _ := bytes.Cut(statusLine, []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(digits) != 3 || digits[0] == '0' {
		return 0, false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		status = status*10 + int(d-'0')
	}
	return status, true
}
