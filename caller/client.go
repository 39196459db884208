package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/server"
)

// Bounds of a client.
const (
	maxAnswerBytes     = 8 << 20
	maxIdleConnections = 256
	operatorsTimeout   = 5 * time.Second
)

// Client sends requests to VMs of the tier, on their ports for callers and for operators.
type Client struct{ http *http.Client }

// NewClient returns a client that connects from the local address, or from any address if local is not valid.
func NewClient(local netip.Addr) *Client {
	d := &net.Dialer{}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{&http.Client{Transport: dialer.StrictTransport{Transport: t}}}
}

// RefusalError is the error for a request that the tier refused.
type RefusalError struct {
	Status int
	server.RefusalBody
}

// Error returns the kind and the detail of the refusal.
func (r *RefusalError) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Detail) }

// Search runs a query on an index. The error is a *RefusalError if the tier refused the query. The deadline, here and in
// the methods below, is only sent to the VM; the client itself stops waiting when ctx ends.
func (c *Client) Search(ctx context.Context, vm netip.AddrPort, index modeler.IndexName, q server.Query, id modeler.RequestID, deadline time.Duration) (server.SearchAnswer, error) {
	return post[server.SearchAnswer](ctx, c, vm, "/v1/search/"+string(index), q, id, deadline)
}

// Order runs a non-idempotent request: it follows the VM's redirect to the path with the ticket.
func (c *Client) Order(ctx context.Context, vm netip.AddrPort, service modeler.ServiceName, body any, deadline time.Duration) (server.OrderAnswer, error) {
	return post[server.OrderAnswer](ctx, c, vm, "/v1/order/"+string(service), body, "", deadline)
}

// OrderWithTicket sends an order with its ticket to a VM, which need not be the one that issued the ticket. The path is
// the one that TicketPath returned.
func (c *Client) OrderWithTicket(ctx context.Context, vm netip.AddrPort, path string, body any, deadline time.Duration) (server.OrderAnswer, error) {
	return post[server.OrderAnswer](ctx, c, vm, path, body, "", deadline)
}

// TicketPath asks a VM for a ticket for an order and returns the path that holds it. The order does not run.
func (c *Client) TicketPath(ctx context.Context, vm netip.AddrPort, service modeler.ServiceName, body any, deadline time.Duration) (string, error) {
	noRedirects := *c.http
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	req, err := request(ctx, vm, "/v1/order/"+string(service), body, "", deadline)
	if err != nil {
		return "", err
	}
	res, err := noRedirects.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusTemporaryRedirect {
		return "", refusalError(res)
	}
	return res.Header.Get("Location"), nil
}

func request(ctx context.Context, vm netip.AddrPort, path string, body any, id modeler.RequestID, deadline time.Duration) (*http.Request, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(server.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if id != "" {
		req.Header.Set(server.HeaderRequest, string(id))
	}
	return req, nil
}

func post[T any, P interface {
	*T
	parser.Checker
}](ctx context.Context, c *Client, vm netip.AddrPort, path string, body any, id modeler.RequestID, deadline time.Duration,
) (T, error) {
	var zero T
	req, err := request(ctx, vm, path, body, id, deadline)
	if err != nil {
		return zero, err
	}
	return do[T, P](c, req)
}

func do[T any, P interface {
	*T
	parser.Checker
}](c *Client, req *http.Request,
) (T, error) {
	var zero T
	res, err := c.http.Do(req)
	if err != nil {
		return zero, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return zero, refusalError(res)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return zero, err
	}
	return parser.DecodeStrict[T, P](b)
}

// refusalError returns the refusal in the answer as a *RefusalError, or another error if the body is not a refusal.
func refusalError(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	body, err := parser.DecodeStrict[server.RefusalBody](b)
	if err != nil {
		return errors.Errorf("status %d, and the body is not a refusal: %s", res.StatusCode, b)
	}
	return &RefusalError{res.StatusCode, body}
}

// Timeline returns the VM's events from a position in its time line on; if id is set, only those of that request.
func (c *Client) Timeline(ctx context.Context, operators netip.AddrPort, from uint64, id modeler.RequestID) (server.TimelinePage, error) {
	q := url.Values{"after": {strconv.FormatUint(from, 10)}}
	if id != "" {
		q.Set("request", string(id))
	}
	ctx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators.String()+"/admin/v1/timeline?"+q.Encode(), http.NoBody)
	if err != nil {
		return server.TimelinePage{}, err
	}
	return do[server.TimelinePage](c, req)
}

// Read returns the body that a VM serves at a path on its port for operators.
func (c *Client) Read(ctx context.Context, operators netip.AddrPort, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators.String()+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("GET %s: status %d, want 200", path, res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
