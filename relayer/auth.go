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

// Limits of calls between VMs, and the headers that authenticate them.
const (
	MaxCallBytes = 8 << 20          // for the body of a call and for the answer
	MaxClockSkew = 30 * time.Second // between the VM that signs a call and the one that verifies it
	headerAuth   = "Peer-Auth"
	headerAt     = "Peer-At"
)

// signature returns the HMAC-SHA256 of the path, the time and the body of a call.
func signature(key []byte, path, at string, body []byte) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("call " + path + " " + at + " "))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// signer is a round tripper that signs the requests that it sends and limits the size of the answers.
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
	out.GetBody = nil // so that the transport cannot send the body a second time by itself
	res, err := s.next.RoundTrip(out)
	if err == nil {
		res.Body = &boundedBody{res.Body, MaxCallBytes}
	}
	return res, err
}

// boundedBody is the body of an answer; reading it fails beyond a size limit, because nothing else limits how much of
// an answer is read.
type boundedBody struct {
	io.ReadCloser
	remaining int
}

// Read reads the next bytes and fails once the body exceeds the limit.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining -= n; b.remaining < 0 {
		return 0, errors.New("answer of the peer is too large")
	}
	return n, err
}

// verify returns the body of a call if one of the keys signed it and its time differs from now by at most MaxClockSkew.
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
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > MaxClockSkew {
		return nil, errors.Errorf("call has no valid signing time, or one that differs from the clock by more than %s", MaxClockSkew)
	}
	for _, k := range keys {
		if hmac.Equal([]byte(signature(k, r.URL.Path, at, body)), []byte(r.Header.Get(headerAuth))) {
			return body, nil
		}
	}
	return nil, errors.New("call is not authentic")
}

// RequireSignature passes on only calls that one of the keys signed recently, and answers others with status 401.
func RequireSignature(keys [][]byte, next http.Handler) http.Handler {
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
