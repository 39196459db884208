package relayer

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/messenger"
)

// Timeouts and limits of connections between VMs.
const (
	dialTimeout         = 500 * time.Millisecond
	sendPingTimeout     = 500 * time.Millisecond
	pingTimeout         = 500 * time.Millisecond
	idleTimeout         = time.Minute
	maxIdleConnsPerPeer = 4
)

// Client calls other VMs over HTTP/2 without TLS. HTTP/2 pings detect connections that have gone silent.
type Client struct {
	mu        sync.Mutex
	transport *http.Transport
	http      *http.Client
	peers     map[netip.AddrPort]messenger.Peer
}

// NewClient returns a client that connects from the local address and signs its calls with the key.
func NewClient(local netip.Addr, key []byte) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	t := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleTimeout,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		Protocols:           new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return &Client{
		transport: t,
		http:      &http.Client{Transport: signer{key, t, time.Now}},
		peers:     map[netip.AddrPort]messenger.Peer{},
	}
}

// Peer returns the RPC client for the VM at the address.
func (c *Client) Peer(addr netip.AddrPort) messenger.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = messenger.NewPeerProtobufClient("http://"+addr.String(), c.http)
		c.peers[addr] = p
	}
	return p
}

// Forget drops the RPC client that is kept for the VM at the address.
func (c *Client) Forget(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, addr)
}

// Close closes all idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
