package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pistachiogap/pistachiogap/messenger"
)

// A peer that pulls the configuration of a thousand routes must get a compressed answer; a small answer stays plain.
func TestLargeAnswersAreCompressed(t *testing.T) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, `{"name":"route-%d","host":"desk%d.example","prefix":"/sweep/%d/","timeout":"2s"},`, i, i%7, i)
	}
	tests := []struct {
		name       string
		text       string
		compressed bool
	}{
		{"large", text.String(), true},
		{"small", `{"name":"route-1"}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			inner := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(tt.text)))
				w.WriteHeader(http.StatusOK)
				_, _ = io.WriteString(w, tt.text)
			})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				CompressLarge(inner).ServeHTTP(&countingWriter{w, &sent}, r)
			}))
			defer s.Close()
			res, err := http.Get(s.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if b, err := io.ReadAll(res.Body); err != nil || string(b) != tt.text {
				t.Fatalf("received %d bytes, want the %d bytes of the answer unchanged; read error: %v", len(b), len(tt.text), err)
			}
			if n := int(sent.Load()); (n*4 < len(tt.text)) != tt.compressed {
				t.Errorf("sent %d bytes for an answer of %d bytes; want less than a quarter for a large answer only", n, len(tt.text))
			}
		})
	}
}

type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// A peer whose answer never ends, plain or compressed, must not make the client read without limit.
func TestPeerAnswersAreBounded(t *testing.T) {
	block := bytes.Repeat([]byte{0}, 1<<16)
	for _, compressed := range []bool{false, true} {
		t.Run(fmt.Sprintf("compressed %v", compressed), func(t *testing.T) {
			endless := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/protobuf")
				if compressed { // CompressLarge compresses an answer with a large Content-Length
					w.Header().Set("Content-Length", fmt.Sprint(int64(1)<<40))
				}
				w.WriteHeader(http.StatusOK)
				for r.Context().Err() == nil {
					if _, err := w.Write(block); err != nil {
						return
					}
				}
			})
			s := httptest.NewUnstartedServer(CompressLarge(endless))
			s.Config.Protocols = new(http.Protocols)
			s.Config.Protocols.SetUnencryptedHTTP2(true)
			s.Start()
			defer s.Close()
			defer s.CloseClientConnections()
			c := NewClient(netip.MustParseAddr("127.0.0.1"), []byte("a-key-of-sixteen"))
			defer c.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			addr := netip.MustParseAddrPort(s.Listener.Addr().String())
			if _, err := c.Peer(addr).Pull(ctx, &messenger.PullRequest{}); err == nil || !strings.Contains(err.Error(), "too large") {
				t.Errorf("Pull of an endless answer returned error %v, want one that says too large", err)
			}
		})
	}
}
