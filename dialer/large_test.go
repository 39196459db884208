package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// A large answer must wait while others take all room, and get it when they are done or fail with its context.
func TestLargeAnswersWaitForRoom(t *testing.T) {
	const size = 2 * SmallAnswerBytes
	room := newAnswerRoom(size)
	reserve, giveBack := room.reservation(t.Context())
	if err := reserve.ifLarge(size); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	late, lateBack := room.reservation(ctx)
	if err := late.ifLarge(SmallAnswerBytes); err != nil {
		t.Errorf("a small answer waited: %v", err)
	}
	if err := late.ifLarge(size); !errors.Is(err, context.Canceled) {
		t.Errorf("reserving without room returned %v, want the end of the context", err)
	}
	lateBack()
	giveBack()
	next, nextBack := room.reservation(t.Context())
	defer nextBack()
	if err := next.ifLarge(10 * size); err != nil {
		t.Errorf("an answer larger than all room got none: %v", err)
	}
	if err := next.ifLarge(size); err != nil {
		t.Errorf("room was reserved twice: %v", err)
	}
}

// Searchers' large answers, with a length and in chunks, must not all be read at once, and all must arrive whole.
func TestLargeAnswersAreReadInTurn(t *testing.T) {
	const calls, size = 12, 500_000
	var sent atomic.Int64
	body := strings.Repeat("a", size)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		if sent.Add(1)%2 == 0 {
			w.Header().Set("Content-Length", "500000")
		}
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	d := NewDialer(netip.MustParseAddr("127.0.0.1"), WithBudget(func(netip.AddrPort) int { return calls }), WithAnswerMemory(size))
	t.Cleanup(d.Close)
	replies := make(chan Reply, calls)
	for range calls {
		go func() {
			replies <- d.Do(t.Context(), Call{Address: l.Addr().(*net.TCPAddr).AddrPort(), Path: "/", Attempt: "a", Deadline: time.Now().Add(10 * time.Second)})
		}()
	}
	for range calls {
		if r := <-replies; r.Fault != gatherer.FaultNone || len(r.Body) != size {
			t.Errorf("fault %v, %d bytes, error %v; want none, %d", r.Fault, len(r.Body), r.Err, size)
		}
	}
	if !d.answers.bytes.TryAcquire(size) {
		t.Error("not all room was given back")
	}
}
