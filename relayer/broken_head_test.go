package relayer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/messenger"
)

// headerField is one field of an HTTP/2 header block.
type headerField struct{ name, value string }

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameHeaders  = 1
	frameSettings = 4
	flagEnds      = 1 | 4 // of a HEADERS frame: the stream and the header block end with it
)

// appendFrame appends an HTTP/2 frame.
func appendFrame(b []byte, kind, flags byte, stream uint32, payload []byte) []byte {
	b = append(b, byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)), kind, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// headerBlock encodes the fields as literals without indexing (RFC 7541, section 6.2.2). Names and values are shorter
// than 127 bytes.
func headerBlock(fields []headerField) []byte {
	var b []byte
	for _, f := range fields {
		b = append(b, 0, byte(len(f.name)))
		b = append(b, f.name...)
		b = append(b, byte(len(f.value)))
		b = append(b, f.value...)
	}
	return b
}

// startRawPeer starts a VM that answers each call with an empty body and the header fields.
func startRawPeer(t *testing.T, fields []headerField) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, fields)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// serveRaw answers the calls of one connection.
func serveRaw(c net.Conn, fields []headerField) {
	defer func() { _ = c.Close() }()
	preface := make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	if _, err := c.Write(appendFrame(nil, frameSettings, 0, 0, nil)); err != nil {
		return
	}
	for {
		head := make([]byte, 9)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		size := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		if _, err := io.CopyN(io.Discard, c, size); err != nil {
			return
		}
		if head[3] != frameHeaders {
			continue
		}
		stream := binary.BigEndian.Uint32(head[5:])
		if _, err := c.Write(appendFrame(nil, frameHeaders, flagEnds, stream, headerBlock(fields))); err != nil {
			return
		}
	}
}

// Guards against answers of other VMs that are used though their status, or the name of a field in their head, is none
// that an answer can have.
func TestPeerAnswersWithABrokenHeadAreRejected(t *testing.T) {
	status := func(s string) headerField { return headerField{":status", s} }
	note := func(name string) headerField { return headerField{name, "b"} }
	tests := []struct {
		name   string
		fields []headerField
		sound  bool
	}{
		{"sound", []headerField{status("200"), note("x-note")}, true},
		{"000", []headerField{status("000")}, false},
		{"099", []headerField{status("099")}, false},
		{"+20", []headerField{status("+20")}, false},
		{"no status", []headerField{note("x-note")}, false},
		{"blank", []headerField{status("200"), note("x note")}, false},
		{"blank at the end", []headerField{status("200"), note("x-note ")}, false},
		{"blank before the name", []headerField{status("200"), note(" x-note")}, false},
		{"control byte", []headerField{status("200"), note("x\x01note")}, false},
		{"NUL", []headerField{status("200"), note("x\x00note")}, false},
		{"empty name", []headerField{status("200"), note("")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := startRawPeer(t, tt.fields)
			c := NewClient(addr.Addr(), []byte("a-key-of-sixteen"))
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.Peer(addr).Pull(ctx, &messenger.PullRequest{})
			if ctx.Err() != nil {
				t.Fatal("the call waited for more")
			}
			if (err == nil) != tt.sound {
				t.Errorf("error %v, want one: %t", err, !tt.sound)
			}
		})
	}
}
