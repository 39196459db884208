package stand

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pistachiogap/pistachiogap/platform/imitator"
)

// Caller sends requests, each on a connection of its own, so that no client library sends one a second time.
type Caller struct{ client *http.Client }

// NewCaller returns a caller.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Ask sends one request and returns its status, or 0 if there was no whole answer, and Retry-After.
func (c *Caller) Ask(vm netip.AddrPort, method, host, path, body, id string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a, err := imitator.Ask(ctx, c.client, vm, method, host, path, body, id, int(deadline.Milliseconds()))
	if err != nil {
		return 0, ""
	}
	return a.Status, a.Header.Get("Retry-After")
}
