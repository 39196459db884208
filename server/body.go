package server

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// errEvicted reports a body that is not read to its end because the VM's callers together hold too much.
var errEvicted = errors.New("connection was evicted")

// receiveBody reads the whole body of a request within a size limit and a timeout, or returns why it is refused. The
// connection of a refused request is closed. The timeout then stays in force, because the server may read on to find the
// end of the body.
func receiveBody(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := readBody(http.MaxBytesReader(w, r.Body, maxBytes), holdingOf(r), r.ContentLength)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyRefusal(err, timeout)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readBody reads a body of the length, or of an unknown length if that is negative. It keeps little more than what was
// received.
func readBody(r io.Reader, h *limiter.Holding, length int64) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			more := max(cap(b), FirstBodyBytes)
			if length >= 0 {
				more = min(more, max(int(length)+1-cap(b), 1))
			}
			if !h.Grow(time.Now(), int64(more)) {
				return nil, errEvicted
			}
			b = append(make([]byte, 0, cap(b)+more), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, nil
		case err != nil && !h.Grow(time.Now(), 0):
			return nil, errEvicted
		case err != nil:
			return nil, err
		}
	}
}

func bodyRefusal(err error, timeout time.Duration) *refuser.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuser.New(refuser.BodyTooLarge, "body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, errEvicted):
		return refuser.New(refuser.Overloaded, "requests that are being received leave no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuser.New(refuser.BodyTimeout, "body did not arrive within %s", timeout)
	}
	return refuser.New(refuser.MalformedRequest, "body cannot be read: %v", err)
}
