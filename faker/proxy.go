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

// LinkState is how the link from one VM to another behaves.
type LinkState uint8

// The states of a link.
const (
	LinkUp LinkState = iota
	LinkCut
	LinkSilent
	LinkSlow   // each piece is late by SlowLink
	LinkOneWay // nothing comes back
)

// SlowLink is the delay of a slow link.
const SlowLink = 60 * time.Millisecond

// Proxy stands for the network before one VM's peers' port: it passes, cuts or swallows what other VMs send there.
type Proxy struct {
	Address netip.AddrPort
	target  netip.AddrPort
	rule    func(from netip.Addr) LinkState
	lose    func() bool

	mu    sync.Mutex
	flows map[net.Conn]netip.Addr
	ends  []<-chan error
}

// StartProxy forwards TCP and UDP from the address to the target as the rule for the sender says; lose drops single datagrams.
func StartProxy(ctx context.Context, addr, target netip.AddrPort, rule func(from netip.Addr) LinkState, lose func() bool) (*Proxy, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	u, err := net.ListenPacket("udp", addr.String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	p := &Proxy{Address: addr, target: target, rule: rule, lose: lose, flows: map[net.Conn]netip.Addr{}}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		_ = u.Close()
		p.closeAll(func(netip.Addr) bool { return true })
	})
	p.ends = []<-chan error{
		spawner.Go(ctx, func(ctx context.Context) error { return p.accept(ctx, l) }),
		spawner.Go(ctx, func(ctx context.Context) error { return p.datagrams(ctx, u) }),
	}
	return p, nil
}

// Wait waits for the proxy to end with its context.
func (p *Proxy) Wait() { _ = spawner.Wait(p.ends...) }

// Refresh cuts the open connections whose link is cut.
func (p *Proxy) Refresh() {
	p.closeAll(func(from netip.Addr) bool { return p.rule(from) == LinkCut })
}

func (p *Proxy) closeAll(which func(from netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, from := range p.flows {
		if which(from) {
			_ = c.Close()
		}
	}
}

func (p *Proxy) accept(ctx context.Context, l net.Listener) error {
	var flows []<-chan error
	for {
		c, err := l.Accept()
		if err != nil {
			_ = spawner.Wait(flows...)
			return ctx.Err()
		}
		from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
		if p.rule(from) == LinkCut {
			_ = c.Close()
			continue
		}
		flows = append(flows, spawner.Go(ctx, func(ctx context.Context) error { return p.flow(ctx, c, from) }))
	}
}

func (p *Proxy) flow(ctx context.Context, c net.Conn, from netip.Addr) error {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	t, err := d.DialContext(ctx, "tcp", p.target.String())
	if err != nil {
		return c.Close()
	}
	p.mu.Lock()
	p.flows[c], p.flows[t] = from, from
	p.mu.Unlock()
	back := spawner.Go(ctx, func(context.Context) error { return p.copy(c, t, from, true) })
	_ = p.copy(t, c, from, false)
	<-back
	p.mu.Lock()
	delete(p.flows, c)
	delete(p.flows, t)
	p.mu.Unlock()
	return ctx.Err()
}

// copy passes bytes on until an end closes; on a silent link it swallows them.
func (p *Proxy) copy(to, from net.Conn, sender netip.Addr, back bool) error {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		state := p.rule(sender)
		if state == LinkSlow {
			time.Sleep(SlowLink)
		}
		if passes := state == LinkUp || state == LinkSlow || (state == LinkOneWay && !back); n > 0 && passes {
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

func (p *Proxy) datagrams(ctx context.Context, u net.PacketConn) error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := u.ReadFrom(buf)
		if err != nil {
			return ctx.Err()
		}
		sender := netip.MustParseAddrPort(from.String()).Addr()
		if p.rule(sender) == LinkUp && !p.lose() {
			_, _ = u.WriteTo(buf[:n], net.UDPAddrFromAddrPort(p.target))
		}
	}
}
