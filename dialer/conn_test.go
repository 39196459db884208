package dialer

import (
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = server.Write(b)
			_ = server.Close()
		}()
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("/load")
		req.Header.SetHost("x")
		if _, err := newConn(client).exchange(t.Context(), req, res, 0, MaxAnswerBytes); err == nil {
			decodeNative(res, &Call{})
		}
		_ = client.Close()
		<-done
	})
}
