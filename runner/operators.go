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

// histogramSamples is the size of the uniform sample behind each latency histogram.
const histogramSamples = 1028

func (v *VM) serveOperators(ctx context.Context) error {
	h := server.NewOperatorsHandler(&server.OperatorHandler{
		Status: v.status, Healthy: v.healthy, Configuration: v.store.State, Members: v.gossip.Members,
		Upstreams: v.upstreams, Quarantine: v.quarantined, Timeline: v.timeline,
		Drain: v.Drain, Metrics: v.metrics, Token: v.cfg.Token,
	})
	return server.Serve(ctx, server.NewHTTPServer(h), v.operatorListener, time.Second)
}

// Drain makes the VM drain and stop, as if Run's context had ended.
func (v *VM) Drain() {
	v.draining.Store(true)
	select {
	case v.drainRequests <- struct{}{}:
	default:
	}
}

// healthy reports whether the VM can serve: it is not draining and has a configuration. If it serves routes, the
// configuration must have a route.
func (v *VM) healthy() bool {
	view := v.view.Load()
	configured := view != nil && !view.Position.IsZero()
	if configured && v.cfg.Routing != nil {
		configured = view.HasRoutes()
	}
	return !v.draining.Load() && configured
}

func (v *VM) status() server.Status {
	limit, inFlight := v.admitter.Limit()
	head := v.store.Head()
	openConns, _ := v.dialer.ConnectionCounts()
	return server.Status{
		Name: v.cfg.Name, FailureDomain: string(v.cfg.FailureDomain), Incarnation: uint64(v.incarnation), Version: Version,
		StartedAt: v.startedAt, Draining: v.draining.Load(), Epoch: head.Epoch, Revision: head.Revision, Members: v.membership.Load().liveCount,
		Underway: inFlight, Limit: limit, Connections: openConns, Tickets: v.tickets.Len(), PlatformCalls: v.platformCalls.Load(),
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
			Service: view.Services[s.Service].Name, Searcher: s.Name, Address: s.Address.String(), State: s.Health.CurrentState(now),
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

// countSearch updates the metrics of searches; kind is the kind of the outcome.
func (v *VM) countSearch(kind string, took time.Duration, res *scatterer.Result) {
	v.counter("search." + kind).Inc(1)
	v.histogram("search.latency-us").Update(took.Microseconds())
	v.counter("attempts.sent").Inc(int64(res.Sent))
	v.counter("attempts.extra").Inc(int64(res.Sent - res.Primaries))
	v.counter("attempts.lost").Inc(int64(res.Lost))
	v.counter("attempts.shed").Inc(int64(res.Shed))
}

// countOrder updates the metrics of orders; kind is the kind of the refusal, or empty for an order that was done.
func (v *VM) countOrder(kind string, took time.Duration) {
	if kind == "" {
		kind = "done"
	}
	v.counter("order." + kind).Inc(1)
	v.histogram("order.latency-us").Update(took.Microseconds())
}
