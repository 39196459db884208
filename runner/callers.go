package runner

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/limiter"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/scatterer"
	"github.com/pistachiogap/pistachiogap/server"
)

// serveCallers serves the port of the callers until the context ends.
func (v *VM) serveCallers(ctx context.Context) error {
	if v.cfg.Routing != nil {
		return v.serveRoutes(ctx)
	}
	searches := &server.SearchHandler{
		Name: v.cfg.Name, View: v.view.Load, Gather: v.spreader.Run, TakeStarvedAttempts: v.scatterer.TakeStarvedAttempts,
		Admitter: v.admitter, Observer: v.observer, Quarantine: v.quarantine, Recorder: v.recorder,
		DeadlineMargin: v.cfg.ReturnMargin.Duration, OnDone: v.countSearch,
	}
	orders := &server.OrderHandler{Orderer: v.orderer, OnDone: v.countOrder}
	s := server.NewHTTPServer(server.NewCallersHandler(searches, orders, v.draining.Load))
	guard := &server.Guard{HeadLimit: server.FixedHeadLimit(server.MaxHeaderBytes), Intake: v.intake}
	return server.Serve(ctx, s, v.callerListener, v.cfg.Grace.Duration, server.WithGuard(guard))
}

func (v *VM) serveRoutes(ctx context.Context) error {
	routes := &server.RouteHandler{
		Dialect: platform.CallerDialect(), View: v.view.Load, Gather: v.scatterer.Run,
		GatheredAdmitter: v.admitter, SingleAdmitter: limiter.NewAdmitter(), TakeStarvedAttempts: v.scatterer.TakeStarvedAttempts,
		Quarantine: v.quarantine, Draining: v.draining.Load, Stop: v.stop, OnDone: v.recordRouteResult,
		Merge: func(parts []scatterer.ShardReply, limit int) []byte {
			return scatterer.MergeRecords(parts, platform.RecordBytes, limit)
		},
	}
	s := server.NewRouteServer(routes)
	guard := &server.Guard{HeadLimit: routes.HeadLimit, Intake: v.intake}
	return server.Serve(ctx, s, v.callerListener, v.cfg.Grace.Duration, server.WithGuard(guard))
}

// callerTimeouts returns the timeouts of the callers' connections that are in force.
func (v *VM) callerTimeouts() limiter.Timeouts {
	if v.cfg.Routing == nil {
		return limiter.Timeouts{Idle: server.IdleTimeout, Head: server.HeaderTimeout, Read: server.UnreadTimeout}
	}
	view := v.view.Load()
	if view == nil || view.Limits == nil {
		return limiter.Timeouts{Idle: server.IdleTimeout, Head: server.RouteHeaderTimeout, Read: server.UnreadTimeout}
	}
	idle := view.Limits.IdleTimeout.Duration
	return limiter.Timeouts{Idle: idle, Head: view.Limits.HeaderTimeout.Duration, Read: idle}
}

// reportEvicted counts and logs the connections of callers that were evicted because there were too many, or because all
// together held too much.
func (v *VM) reportEvicted() {
	n := v.intake.TakeEvicted()
	if n == 0 {
		return
	}
	v.counter("callers.evicted").Inc(int64(n))
	conns, bytes := v.intake.Load()
	klog.InfoS("callers: connections evicted", "count", n, "open", conns, "held-bytes", bytes)
}

// recordRouteResult counts and logs one request on a route.
func (v *VM) recordRouteResult(r *server.RouteResult) {
	v.counter("forward." + r.Outcome).Inc(1)
	v.histogram("forward.latency-us").Update(r.Took.Microseconds())
	res := &r.Result
	v.counter("attempts.sent").Inc(int64(res.Sent))
	v.counter("attempts.extra").Inc(int64(res.Sent - res.Primaries))
	v.counter("attempts.lost").Inc(int64(res.Lost))
	v.counter("attempts.shed").Inc(int64(res.Shed))
	fields := []any{
		"id", string(r.ID), "route", string(r.Route), "epoch", uint64(r.Position.Epoch), "revision", uint64(r.Position.Revision), "outcome", r.Outcome, "status", r.Status,
		"took-ms", r.Took.Milliseconds(), "shards", res.Shards, "answered", res.Answered, "sent", res.Sent,
		"faults", res.Faults.String(), "may-have-run", res.MayHaveRun, "left-out", res.LeftOut,
	}
	if r.Status < http.StatusMultipleChoices && r.Outcome == string(server.Complete) {
		klog.InfoS("request: answered", fields...)
		return
	}
	klog.ErrorS(nil, "request: not answered in full", append(fields, "detail", r.Detail, "missing", res.Missing)...)
}
