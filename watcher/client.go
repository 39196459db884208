package watcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// Bounds of calls to the platform.
const (
	CallTimeout   = 2 * time.Second
	WatchTimeout  = 30 * time.Second
	maxBodyBytes  = 4 << 20
	maxKeyLength  = 200
	HeaderAt      = "Revision"
	idlePerHost   = 2
	watchOverhead = 5 * time.Second
)

// Directory lists the keys of the configuration service with their revisions.
type Directory struct {
	Revision modeler.Revision            `json:"revision"`
	Keys     map[string]modeler.Revision `json:"keys"`
}

// Check returns the faults of the directory.
func (d *Directory) Check() modeler.Problems {
	var p modeler.Problems
	for k, r := range d.Keys {
		if k == "" || len(k) > maxKeyLength {
			p.Add("is not a key", "keys", k)
		}
		if r > d.Revision {
			p.Add("is later than the directory", "keys", k)
		}
	}
	return p
}

// listing is the platform's list as it stands on the wire.
type listing struct{ modeler.Listing }

// Check returns the faults of the list.
func (l *listing) Check() modeler.Problems {
	var p modeler.Problems
	for i, v := range l.VMs {
		p.Name(string(v.Name), "vms", i, "name")
	}
	return p
}

// Client reads the platform.
type Client struct {
	base   string
	client *http.Client
	calls  func()
}

// NewClient makes a client of the platform at the address; calls is told of each call.
func NewClient(addr netip.AddrPort, calls func()) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + addr.String(), client: &http.Client{Transport: t}, calls: calls}
}

// Directory returns the directory, once its revision is later than after if wait is set.
func (c *Client) Directory(ctx context.Context, after modeler.Revision, wait bool) (Directory, error) {
	path, timeout := "/v1/keys", CallTimeout
	if wait {
		path += "?after=" + strconv.FormatUint(uint64(after), 10)
		timeout = WatchTimeout + watchOverhead
	}
	body, _, err := c.get(ctx, path, timeout)
	if err != nil {
		return Directory{}, err
	}
	return parser.DecodeStrict[Directory](body)
}

// Value returns the value of a key.
func (c *Client) Value(ctx context.Context, key string) (configurer.Value, error) {
	body, header, err := c.get(ctx, "/v1/keys/"+url.PathEscape(key), CallTimeout)
	if err != nil {
		return configurer.Value{}, err
	}
	rev, err := strconv.ParseUint(header.Get(HeaderAt), 10, 64)
	if err != nil {
		return configurer.Value{}, errors.Errorf("key %s: no revision", key)
	}
	return configurer.Value{Key: key, Revision: modeler.Revision(rev), Text: body}, nil
}

// Listing returns the lagging list of VMs.
func (c *Client) Listing(ctx context.Context) (modeler.Listing, error) {
	body, _, err := c.get(ctx, "/v1/vms", CallTimeout)
	if err != nil {
		return modeler.Listing{}, err
	}
	l, err := parser.DecodeStrict[listing](body)
	return l.Listing, err
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, nil, err
	}
	c.calls()
	res, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, nil, err
	case len(body) > maxBodyBytes:
		return nil, nil, errors.New("answer of the platform is too large")
	case res.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("platform answered %d", res.StatusCode)
	}
	return body, res.Header, nil
}
