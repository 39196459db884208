package dialer

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd

	maxErrorLine     = 80  // bytes
	maxInformational = 100 // heads before that of the answer
	lengthOfChunked  = -1  // which the library returns for a chunked body
)

// headError reports a head that is not that of an answer. Nothing is concluded from such an answer: neither whose it is
// nor whether the request ran.
type headError struct {
	problem string
	line    string // its first maxErrorLine bytes
}

// newHeadError copies the line, which may lie in a buffer that is used again.
func newHeadError(problem string, line []byte) *headError {
	return &headError{problem, string(line[:min(len(line), maxErrorLine)])}
}

// Error implements error.
func (e *headError) Error() string { return fmt.Sprintf("malformed head: %s: %q", e.problem, e.line) }

// readAnswer reads one answer after any informational ones, which it drops. The library reads a status of 000
// as 200, and takes blanks in the names of fields, so heads and trailers are checked before the library sees them.
func readAnswer(r *bufio.Reader, res *fasthttp.Response, maxBody int, reserve reserveFunc) error {
	status, err := readFinalHead(r, &res.Header)
	if err != nil {
		return err
	}
	if res.SkipBody || status == http.StatusNoContent || status == http.StatusNotModified {
		return nil
	}
	if err := reserve.ifLarge(min(res.Header.ContentLength(), maxBody)); err != nil {
		return err
	}
	if err := res.ReadBody(r, maxBody); err != nil {
		return err
	}
	if res.Header.ContentLength() != lengthOfChunked {
		return nil
	}
	if err := checkTrailer(r); err != nil {
		return err
	}
	return res.Header.ReadTrailer(r)
}

// readFinalHead reads heads up to the first that is not informational, and returns its status.
func readFinalHead(r *bufio.Reader, h *fasthttp.ResponseHeader) (status int, err error) {
	for range 1 + maxInformational {
		head, err := peekHead(r)
		if err != nil {
			return 0, err
		}
		status, err := parseHead(head)
		if err != nil {
			return 0, err
		}
		if err := h.Read(r); err != nil {
			return 0, err
		}
		if status >= http.StatusOK {
			return status, nil
		}
	}
	return 0, newHeadError("too many informational answers", nil)
}

// checkTrailer checks the fields after a chunked body, if there are any, and leaves them in the reader.
func checkTrailer(r *bufio.Reader) error {
	b, err := r.Peek(len(lineEnd))
	if err != nil || string(b) == lineEnd {
		return err
	}
	trailer, err := peekHead(r)
	if err != nil {
		return err
	}
	return checkFields(trailer)
}

// peekHead returns the next head, with empty lines before it and the one that ends it, and leaves it in the reader. The
// error wraps bufio.ErrBufferFull if it is longer than the reader's buffer.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		b, _ := r.Peek(r.Buffered())
		start := len(b) - len(bytes.TrimLeft(b, lineEnd))
		if i := bytes.Index(b[start:], []byte(headEnd)); i >= 0 {
			return b[:start+i+len(headEnd)], nil
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return nil, errors.Wrap(err, "read head")
		}
	}
}

// parseHead returns the status of a head. The error is a *headError if no answer can have such a head.
func parseHead(head []byte) (status int, err error) {
	line, fields, _ := bytes.Cut(bytes.TrimLeft(head, lineEnd), []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	status, ok := parseStatus(line)
	switch {
	case !ok:
		return 0, newHeadError("no status of 100 to 999", line)
	case status == http.StatusSwitchingProtocols:
		return 0, newHeadError("another protocol, for which no request asks", line)
	}
	return status, checkFields(fields)
}

// checkFields returns a *headError if the name of a field is not a token (RFC 9110, section 5.6.2). The lines end with an
// empty one. A line that begins with a blank fails too: whether it continues a value or has a broken name cannot be told.
func checkFields(lines []byte) error {
	for line := range bytes.Lines(bytes.TrimSuffix(lines, []byte(lineEnd))) {
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return newHeadError("field name is not a token", line)
		}
	}
	return nil
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
