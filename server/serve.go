package server

import (
	"context"
	"net"
	"net/http"
	"time"
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

// Serve runs a server until the context ends, then shuts it down within the grace; requests still open after it are cut.
func Serve(ctx context.Context, s *http.Server, l net.Listener, grace time.Duration) error {
	down := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		down <- s.Shutdown(ctx)
	})
	defer stop()
	err := s.Serve(l)
	if ctx.Err() == nil {
		return err
	}
	if err := <-down; err != nil {
		return s.Close()
	}
	return nil
}
