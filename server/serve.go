package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// NewHTTPServer returns a server with the bounds that every port of a VM has.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// NewRouteServer returns a server for callers of routes; the limits of the configuration are narrower than its own.
func NewRouteServer(h http.Handler) *http.Server {
	s := NewHTTPServer(h)
	s.MaxHeaderBytes = RouteHeaderBytes
	s.ReadHeaderTimeout = RouteHeaderTimeout
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

// Serve runs a server until the context ends, then answers what was sent before, in the accept queue too, and stops within the grace; requests still open after it are cut.
func Serve(ctx context.Context, s *http.Server, l net.Listener, grace time.Duration) error {
	conns := track(s)
	s.Handler = announceClose(ctx, s.Handler)
	closeListener := func() { _ = l.Close() }
	if tcp, ok := l.(*net.TCPListener); ok {
		q := &queueListener{TCPListener: tcp}
		l = q
		closeListener = func() { q.closeEmpty(time.Now().Add(min(QueueLimit, grace))) }
	}
	end := make(chan time.Time, 1)
	stop := context.AfterFunc(ctx, func() {
		end <- time.Now().Add(grace)
		closeListener()
	})
	defer stop()
	err := s.Serve(l)
	if ctx.Err() == nil {
		return err
	}
	return drain(ctx, s, conns, <-end)
}

// drain lets the requests under way end until the time, and cuts those that are left. The server is shut down only when none is: it closes a connection whose request it has just read, without an answer.
func drain(ctx context.Context, s *http.Server, conns *connStates, end time.Time) error {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), end)
	defer cancel()
	for conns.busy(time.Now()) && ctx.Err() == nil {
		spawner.Sleep(ctx, DrainPoll)
	}
	s.RegisterOnShutdown(conns.closeUnused)
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}
