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

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
	"github.com/pistachiogap/pistachiogap/server"
)

// Bounds of a client.
const (
	maxAnswerBytes   = 8 << 20
	connectionsKept  = 256
	operatorsTimeout = 5 * time.Second
)

// Client calls VMs of the tier.
type Client struct{ http *http.Client }

// NewClient makes a client whose connections leave from the local address, or from any if it is not valid.
func NewClient(local netip.Addr) *Client {
	d := &net.Dialer{}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: connectionsKept}
	return &Client{&http.Client{Transport: t}}
}

// Refused is the error of a request that the tier refused.
type Refused struct {
	Status int
	server.RefusalBody
}

// Error returns the kind and the detail.
func (r *Refused) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Detail) }

// Search runs a query on an index; the error is a *Refused if the tier refused it.
func (c *Client) Search(ctx context.Context, vm netip.AddrPort, index modeler.IndexName, q server.Query, id modeler.RequestID, budget time.Duration) (server.SearchAnswer, error) {
	return post[server.SearchAnswer](ctx, c, vm, "/v1/search/"+string(index), q, id, budget)
}

// Order runs a non-idempotent request by following the redirect to its ticket.
func (c *Client) Order(ctx context.Context, vm netip.AddrPort, service modeler.ServiceName, body any, budget time.Duration) (server.OrderAnswer, error) {
	return post[server.OrderAnswer](ctx, c, vm, "/v1/order/"+string(service), body, "", budget)
}

// Resend sends a request with its ticket to a VM.
func (c *Client) Resend(ctx context.Context, vm netip.AddrPort, path string, body any, budget time.Duration) (server.OrderAnswer, error) {
	return post[server.OrderAnswer](ctx, c, vm, path, body, "", budget)
}

// Ticket returns the path with the ticket that a VM issues for an order; nothing runs.
func (c *Client) Ticket(ctx context.Context, vm netip.AddrPort, service modeler.ServiceName, body any, budget time.Duration) (string, error) {
	still := *c.http
	still.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	req, err := request(ctx, vm, "/v1/order/"+string(service), body, "", budget)
	if err != nil {
		return "", err
	}
	res, err := still.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusTemporaryRedirect {
		return "", refusedBy(res)
	}
	return res.Header.Get("Location"), nil
}

func request(ctx context.Context, vm netip.AddrPort, path string, body any, id modeler.RequestID, budget time.Duration) (*http.Request, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(server.HeaderDeadline, strconv.FormatInt(budget.Milliseconds(), 10))
	if id != "" {
		req.Header.Set(server.HeaderRequest, string(id))
	}
	return req, nil
}

func post[T any, P interface {
	*T
	parser.Checker
}](ctx context.Context, c *Client, vm netip.AddrPort, path string, body any, id modeler.RequestID, budget time.Duration,
) (T, error) {
	var none T
	req, err := request(ctx, vm, path, body, id, budget)
	if err != nil {
		return none, err
	}
	return do[T, P](c, req)
}

func do[T any, P interface {
	*T
	parser.Checker
}](c *Client, req *http.Request,
) (T, error) {
	var none T
	res, err := c.http.Do(req)
	if err != nil {
		return none, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return none, refusedBy(res)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return none, err
	}
	return parser.DecodeStrict[T, P](b)
}

func refusedBy(res *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	body, err := parser.DecodeStrict[server.RefusalBody](b)
	if err != nil {
		return errors.Errorf("answered %d: %s", res.StatusCode, b)
	}
	return &Refused{res.StatusCode, body}
}

// Timeline returns a VM's events after a position, of one request if it is named.
func (c *Client) Timeline(ctx context.Context, operators netip.AddrPort, after uint64, id modeler.RequestID) (server.TimelinePage, error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
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

// Read returns what a path of the operators' port answers.
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
		return nil, errors.Errorf("%s answered %d", path, res.StatusCode)
	}
	return io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
