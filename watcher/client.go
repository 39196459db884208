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
	"github.com/pistachiogap/pistachiogap/dialer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/parser"
)

// Bounds of calls to the platform's configuration service and its list of VMs, and the header of their answers.
const (
	// CallTimeout bounds a call that does not watch.
	CallTimeout = 2 * time.Second
	// WatchTimeout is how long a watch of the configuration service waits for a change. The VM then ends the call, since a
	// stale copy of the service or a silent connection may never answer it; a change has to be in force within 7 s.
	// Watches of the platform's store wait for StoreWait.
	WatchTimeout = 3 * time.Second
	maxBodyBytes = 4 << 20
	maxKeyLength = 200
	// HeaderRevision is the response header that holds the revision of a value.
	HeaderRevision   = "Revision"
	idleConnsPerHost = 2
)

// Directory lists the keys of the configuration service with their revisions.
type Directory struct {
	Revision modeler.Revision            `json:"revision"`
	Keys     map[string]modeler.Revision `json:"keys"`
}

// Check reports malformed keys, and keys with a later revision than the directory's own.
func (d *Directory) Check() modeler.Problems {
	var p modeler.Problems
	for k, r := range d.Keys {
		if k == "" || len(k) > maxKeyLength {
			p.Add("key must have 1 to 200 bytes", "keys", k)
		}
		if r > d.Revision {
			p.Add("revision is later than that of the directory", "keys", k)
		}
	}
	return p
}

// listing adds to modeler.Listing the Check method that parser.DecodeStrict needs.
type listing struct{ modeler.Listing }

// Check reports VMs with malformed names.
func (l *listing) Check() modeler.Problems {
	var p modeler.Problems
	for i, v := range l.VMs {
		p.CheckName(string(v.Name), "vms", i, "name")
	}
	return p
}

// Client reads the configuration service and the list of VMs of the platform over HTTP.
type Client struct {
	base   string
	client *http.Client
	onCall func()
}

// NewClient returns a Client of the platform at the address. onCall is called before each request to the platform.
func NewClient(addr netip.AddrPort, onCall func()) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + addr.String(), client: &http.Client{Transport: dialer.StrictTransport{Transport: t}}, onCall: onCall}
}

// Directory returns the directory. If wait is set, the platform answers once the revision of the directory is later
// than after, or when its own limit for a watch has passed. If that takes longer than WatchTimeout, Directory fails.
func (c *Client) Directory(ctx context.Context, after modeler.Revision, wait bool) (Directory, error) {
	path, timeout := "/v1/keys", CallTimeout
	if wait {
		path += "?after=" + strconv.FormatUint(uint64(after), 10)
		timeout = WatchTimeout
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
	rev, err := strconv.ParseUint(header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return configurer.Value{}, errors.Errorf("value of key %s has no valid Revision header", key)
	}
	return configurer.Value{Key: key, Position: modeler.Position{Revision: modeler.Revision(rev)}, Text: body}, nil
}

// Listing returns the platform's list of VMs, which lags behind the real state.
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
	c.onCall()
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
		return nil, nil, errors.New("platform's answer is longer than 4 MiB")
	case res.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("platform answered with status %d, want 200", res.StatusCode)
	}
	return body, res.Header, nil
}
