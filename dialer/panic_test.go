package dialer

import (
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// If the code that decodes an answer panics, only that attempt must fail, and only its connection must be closed. The
// process must go on.
func TestAnAnswerThatPanicsCostsOneAttempt(t *testing.T) {
	s := startSearcher(t, answers)
	wire := NativeWire()
	decode := wire.Read
	panics := true
	wire.Read = func(res *fasthttp.Response, call *Call) Reply {
		if panics {
			panic("test: panic while decoding an answer")
		}
		return decode(res, call)
	}
	d := NewDialer(netip.MustParseAddr("127.0.0.1"), WithWire(wire), WithBudget(func(netip.AddrPort) int { return 1 }))
	defer d.Close()
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultCorrupt || r.Err == nil {
		t.Errorf("fault %s, error %v; want corrupt and an error", r.Fault, r.Err)
	}
	if open, _ := d.ConnectionCounts(); open != 0 {
		t.Errorf("%d connections open after the panic, want 0", open)
	}
	panics = false
	if r := d.Do(t.Context(), call(s)); r.Fault != gatherer.FaultNone {
		t.Errorf("next call: fault %s, error %v; want none", r.Fault, r.Err)
	}
}
