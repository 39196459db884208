package relayer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Bounds of calls between VMs.
const (
	MaxCallBytes  = 8 << 20
	MaxClockError = 30 * time.Second
	headerAuth    = "Peer-Auth"
	headerAt      = "Peer-At"
)

// signature authenticates the path, the time and the body of a call.
func signature(key []byte, path, at string, body []byte) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("call " + path + " " + at + " "))
	m.Write(body)
	return hex.EncodeToString(m.Sum(nil))
}

// signer is a round tripper that authenticates what it sends.
type signer struct {
	key  []byte
	next http.RoundTripper
	now  func() time.Time
}

// RoundTrip signs and sends the request.
func (s signer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	_ = r.Body.Close()
	out := r.Clone(r.Context())
	at := strconv.FormatInt(s.now().UnixMilli(), 10)
	out.Header.Set(headerAt, at)
	out.Header.Set(headerAuth, signature(s.key, r.URL.Path, at, body))
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.GetBody = nil
	res, err := s.next.RoundTrip(out)
	if err == nil {
		res.Body = &boundedBody{res.Body, MaxCallBytes}
	}
	return res, err
}

// boundedBody is the body of an answer that fails beyond a size, for nobody else bounds what is read of it.
type boundedBody struct {
	io.ReadCloser
	left int
}

// Read reads the next bytes; the error says that the answer is too large.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= n; b.left < 0 {
		return 0, errors.New("answer is too large")
	}
	return n, err
}

// verify returns the body of a call if one of the keys signed it lately.
func verify(keys [][]byte, now time.Time, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxCallBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxCallBytes {
		return nil, errors.New("call is too large")
	}
	at := r.Header.Get(headerAt)
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > MaxClockError {
		return nil, errors.New("call is not of this time")
	}
	for _, k := range keys {
		if hmac.Equal([]byte(signature(k, r.URL.Path, at, body)), []byte(r.Header.Get(headerAuth))) {
			return body, nil
		}
	}
	return nil, errors.New("call is not authentic")
}

// Authenticated lets only calls pass that one of the keys signed.
func Authenticated(keys [][]byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := verify(keys, time.Now(), r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
