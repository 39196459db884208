package faker

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// LinkState is how the network link from one VM to another behaves: the connections that the first VM opens to the
// second, with the bytes of both directions, and the datagrams that the first sends to the second.
type LinkState uint8

// The states of a link.
const (
	LinkUp     LinkState = iota
	LinkCut              // connections are closed, datagrams are dropped
	LinkSilent           // connections stay open, but all bytes and datagrams are dropped
	LinkSlow             // each read of a connection is passed on after SlowLink, datagrams are dropped
	LinkOneWay           // bytes pass to the VM that accepted the connection, not back; datagrams are dropped
)

// SlowLink is the delay that a slow link adds to each read.
const SlowLink = 60 * time.Millisecond

// Proxy stands in for the network in front of one address, such as a VM's address for its peers. It forwards, delays or
// drops the traffic to that address, or cuts its connections.
type Proxy struct {
	Address      netip.AddrPort
	target       netip.AddrPort
	linkState    func(from netip.Addr) LinkState
	dropDatagram func() bool

	mu    sync.Mutex
	conns map[net.Conn]netip.Addr
	done  []<-chan error
}

// StartProxy forwards TCP and UDP from addr to the target until the context ends. linkState returns the state of the
// link from a sender; a datagram on a link that is up is lost if dropDatagram returns true.
func StartProxy(ctx context.Context, addr, target netip.AddrPort, linkState func(from netip.Addr) LinkState, dropDatagram func() bool) (*Proxy, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	u, err := net.ListenPacket("udp", addr.String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	p := &Proxy{Address: addr, target: target, linkState: linkState, dropDatagram: dropDatagram, conns: map[net.Conn]netip.Addr{}}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		_ = u.Close()
		p.closeConns(func(netip.Addr) bool { return true })
	})
	p.done = []<-chan error{
		spawner.Go(ctx, func(ctx context.Context) error { return p.acceptConns(ctx, l) }),
		spawner.Go(ctx, func(ctx context.Context) error { return p.forwardDatagrams(ctx, u) }),
	}
	return p, nil
}

// Wait waits until the proxy has ended, which it does when its context ends.
func (p *Proxy) Wait() { _ = spawner.Wait(p.done...) }

// Refresh closes the open connections whose link is cut. It must be called after the state of a link was set to LinkCut.
func (p *Proxy) Refresh() {
	p.closeConns(func(from netip.Addr) bool { return p.linkState(from) == LinkCut })
}

func (p *Proxy) closeConns(match func(from netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.conns {
		if match(from) {
			_ = c.Close()
		}
	}
}

func (p *Proxy) acceptConns(ctx context.Context, l net.Listener) error {
	var forwards []<-chan error
	for {
		c, err := l.Accept()
		if err != nil {
			_ = spawner.Wait(forwards...)
			return ctx.Err()
		}
		from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
		if p.linkState(from) == LinkCut {
			_ = c.Close()
			continue
		}
		forwards = append(forwards, spawner.Go(ctx, func(ctx context.Context) error { return p.forwardConn(ctx, c, from) }))
	}
}

// forwardConn forwards a connection to the target. It connects from the sender's address, so that the target sees the
// sender and not the proxy.
func (p *Proxy) forwardConn(ctx context.Context, c net.Conn, from netip.Addr) error {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	t, err := d.DialContext(ctx, "tcp", p.target.String())
	if err != nil {
		return c.Close()
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = from, from
	p.mu.Unlock()
	replies := spawner.Go(ctx, func(context.Context) error { return p.forwardBytes(c, t, from, true) })
	_ = p.forwardBytes(t, c, from, false)
	<-replies
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	return ctx.Err()
}

// forwardBytes copies bytes until either connection closes and then closes both. It drops bytes that the link does not
// pass. fromTarget marks the direction from the target to the sender.
func (p *Proxy) forwardBytes(to, from net.Conn, sender netip.Addr, fromTarget bool) error {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		state := p.linkState(sender)
		if state == LinkSlow {
			time.Sleep(SlowLink)
		}
		if passes := state == LinkUp || state == LinkSlow || (state == LinkOneWay && !fromTarget); n > 0 && passes {
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *Proxy) forwardDatagrams(ctx context.Context, u net.PacketConn) error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := u.ReadFrom(buf)
		if err != nil {
			return ctx.Err()
		}
		sender := netip.MustParseAddrPort(from.String()).Addr()
		if p.linkState(sender) == LinkUp && !p.dropDatagram() {
			_, _ = u.WriteTo(buf[:n], net.UDPAddrFromAddrPort(p.target))
		}
	}
}
