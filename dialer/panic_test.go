package dialer

import (
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/pistachiogap/pistachiogap/gatherer"
)

// The load: an answer on which the decoder panics. It costs its own attempt and its connection, not the process.
func TestAnAnswerThatPanicsCostsOneAttempt(t *testing.T) {
	u := startSearcher(t, answers)
	wire := NativeWire()
	good := wire.Read
	panics := true
	wire.Read = func(res *fasthttp.Response, call *Call) Reply {
		if panics {
			panic("an answer that nobody thought of")
		}
		return good(res, call)
	}
	d := NewDialer(netip.MustParseAddr("127.0.0.1"), WithWire(wire), WithBudget(func(netip.AddrPort) int { return 1 }))
	defer d.Close()
	if r := d.Do(t.Context(), call(u)); r.Fault != gatherer.FaultCorrupt || r.Err == nil {
		t.Errorf("came to %s, error %v", r.Fault, r.Err)
	}
	if open, _ := d.Open(); open != 0 {
		t.Errorf("%d connections are open after it", open)
	}
	panics = false
	if r := d.Do(t.Context(), call(u)); r.Fault != gatherer.FaultNone {
		t.Errorf("the next call came to %s: %v", r.Fault, r.Err)
	}
}
