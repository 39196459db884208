package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// NewHTTPServer returns a server with the limits of a VM's ports. NewRouteServer replaces two of them.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// NewRouteServer returns a server for callers of routes. Its limit of the size of headers is fixed and meant to be wider
// than the configured one, which a Guard and RouteHandler keep. Its Guard's owner closes connections that take too long
// for a head or stay idle.
func NewRouteServer(h http.Handler) *http.Server {
	s := NewHTTPServer(h)
	s.MaxHeaderBytes = RouteHeaderBytes
	s.ReadHeaderTimeout = 0
	s.IdleTimeout = 0
	return s
}

// NewPeerServer returns a server that also speaks HTTP/2 without TLS, for calls between VMs.
func NewPeerServer(h http.Handler) *http.Server {
	s := NewHTTPServer(h)
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// ServeOption changes how Serve runs a server.
type ServeOption func(*serveConfig)

type serveConfig struct{ guard *Guard }

// WithGuard puts the connections of the server under a guard.
func WithGuard(g *Guard) ServeOption { return func(c *serveConfig) { c.guard = g } }

// Serve runs a server until the context ends. It then answers the requests that were sent before, including those on
// connections in the accept queue, and stops. Requests that are still open after the grace period are cut off.
func Serve(ctx context.Context, s *http.Server, l net.Listener, grace time.Duration, options ...ServeOption) error {
	var cfg serveConfig
	for _, o := range options {
		o(&cfg)
	}
	conns := trackConns(s)
	s.Handler = announceClose(ctx, s.Handler)
	closeListener := func() { _ = l.Close() }
	if tcp, ok := l.(*net.TCPListener); ok {
		d := &drainingListener{TCPListener: tcp}
		l = d
		closeListener = func() { d.closeWhenEmpty(time.Now().Add(min(AcceptQueueLimit, grace))) }
	}
	if cfg.guard != nil {
		cfg.guard.attach(s)
		l = &guardedListener{l, cfg.guard}
	}
	drainDeadline := make(chan time.Time, 1)
	stop := context.AfterFunc(ctx, func() {
		drainDeadline <- time.Now().Add(grace)
		closeListener()
	})
	defer stop()
	err := s.Serve(l)
	if ctx.Err() == nil {
		return err
	}
	return drain(ctx, s, conns, cfg.guard, <-drainDeadline)
}

// drain waits until the requests under way have ended, and at the deadline cuts off those that have not. Requests that
// are not received whole in time are not waited for. It calls
// Shutdown only when no request is under way or at the deadline, because Shutdown closes a connection whose request the
// server has just read, without an answer.
func drain(ctx context.Context, s *http.Server, conns *connStates, g *Guard, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	for conns.busy(time.Now()) && ctx.Err() == nil {
		g.endUnfinished()
		spawner.Sleep(ctx, DrainPollInterval)
	}
	s.RegisterOnShutdown(conns.closeUnused)
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}
