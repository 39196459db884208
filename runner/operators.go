package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/server"
)

// Version is the version of the program.
const Version = "0.2.0"

const histogramSamples = 1028

func (v *VM) serveOperators(ctx context.Context) error {
	h := server.NewOperators(&server.Operators{
		Status: v.status, Healthy: v.healthy, Configuration: v.store.State, Members: v.gossip.Members,
		Upstreams: v.upstreams, Quarantine: v.quarantined, Timeline: v.timeline,
		Drain: v.Drain, Metrics: v.metrics, Token: v.cfg.Token,
	})
	return server.Serve(ctx, server.NewHTTPServer(h), v.operators, time.Second)
}

// Drain makes the VM leave as if it had been told to end.
func (v *VM) Drain() {
	v.draining.Store(true)
	select {
	case v.drain <- struct{}{}:
	default:
	}
}

func (v *VM) healthy() bool {
	view := v.view.Load()
	configured := view != nil && view.Revision > 0
	if configured && v.cfg.Routing != nil {
		configured = view.HasRoutes()
	}
	return !v.draining.Load() && configured
}

func (v *VM) status() server.Status {
	limit, underway := v.admitter.Limit()
	open, _ := v.dialer.Open()
	return server.Status{
		Name: v.cfg.Name, FailureDomain: string(v.cfg.FailureDomain), Incarnation: uint64(v.incarnation), Version: Version,
		Since: v.started, Draining: v.draining.Load(), Revision: v.store.Head(), Members: v.membership.Load().alive,
		Underway: underway, Limit: limit, Connections: open, Tickets: v.home.Len(), PlatformCalls: v.calls.Load(),
		Gossip: v.gossip.Counters(),
	}
}

func (v *VM) upstreams() []server.UpstreamState {
	view := v.view.Load()
	if view == nil {
		return nil
	}
	now := time.Now()
	out := make([]server.UpstreamState, len(view.Searchers))
	for i := range view.Searchers {
		s := &view.Searchers[i]
		out[i] = server.UpstreamState{
			Service: view.Services[s.Service].Name, Searcher: s.Name, Address: s.Address.String(), State: s.Health.Snapshot(now),
		}
	}
	return out
}

func (v *VM) quarantined() []server.QuarantineState {
	out := []server.QuarantineState{}
	for f, until := range v.quarantine.List(time.Now()) {
		out = append(out, server.QuarantineState{Fingerprint: fmt.Sprintf("%016x", uint64(f)), Until: until})
	}
	return out
}

func (v *VM) timeline(after uint64, request modeler.RequestID) server.TimelinePage {
	events, next := v.recorder.Events(after, request)
	return server.TimelinePage{VM: v.cfg.Name, Next: next, Events: events}
}

func (v *VM) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, v.metrics)
}

func (v *VM) histogram(name string) metrics.Histogram {
	return v.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSamples))
	}).(metrics.Histogram)
}

func (v *VM) countSearch(kind string, took time.Duration, res *scatterer.Result) {
	v.counter("search." + kind).Inc(1)
	v.histogram("search.latency-us").Update(took.Microseconds())
	v.counter("attempts.sent").Inc(int64(res.Sent))
	v.counter("attempts.extra").Inc(int64(res.Sent - res.Primaries))
	v.counter("attempts.lost").Inc(int64(res.Lost))
	v.counter("attempts.shed").Inc(int64(res.Shed))
}

func (v *VM) countOrder(kind string, took time.Duration) {
	if kind == "" {
		kind = "done"
	}
	v.counter("order." + kind).Inc(1)
	v.histogram("order.latency-us").Update(took.Microseconds())
}
