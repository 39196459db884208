package faker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// maxFaults bounds the list of wrong answers that is kept for the message of a failed check.
const maxFaults = 20

// callerLoops runs callers, each of which sends one request after another.
type callerLoops struct {
	cancel context.CancelFunc
	ends   []<-chan error
}

// start starts callers that call send with their number and the number of the request until stop is called.
func (l *callerLoops) start(ctx context.Context, callers int, pause time.Duration, send func(ctx context.Context, caller, n int)) {
	ctx, l.cancel = context.WithCancel(ctx)
	for caller := range callers {
		l.ends = append(l.ends, spawner.Go(ctx, func(ctx context.Context) error {
			for n := 0; ctx.Err() == nil; n++ {
				send(ctx, caller, n)
				spawner.Sleep(ctx, pause)
			}
			return nil
		}))
	}
}

// stop ends the callers after their present requests.
func (l *callerLoops) stop() {
	if l.cancel == nil {
		return
	}
	l.cancel()
	_ = spawner.Wait(l.ends...)
	l.cancel, l.ends = nil, nil
}

func (s *Scenario) stopTraffic() {
	if s.searches != nil {
		s.searches.loops.stop()
		s.orders.loops.stop()
	}
}

// randomVM returns the address for callers of a random VM, or the zero address if the balancer sends requests to none.
func (s *Scenario) randomVM() netip.AddrPort {
	vms := s.callerAddresses()
	if len(vms) == 0 {
		return netip.AddrPort{}
	}
	return vms[rand.IntN(len(vms))]
}
