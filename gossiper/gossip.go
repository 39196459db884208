package gossiper

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// Counters are the traffic of one VM's gossip.
type Counters struct {
	PacketsIn  uint64 `json:"packets-in"`
	PacketsOut uint64 `json:"packets-out"`
	BytesIn    uint64 `json:"bytes-in"`
	BytesOut   uint64 `json:"bytes-out"`
	Dropped    uint64 `json:"dropped"`
}

// Handlers are told what a node asks for, outside of the lock.
type Handlers struct {
	Changed func(Member)
	Pull    func(Member)
	News    func(News)
	Woke    func(paused time.Duration)
}

// Gossip moves the packets of a node over UDP.
type Gossip struct {
	mu       sync.Mutex
	node     *Node
	conn     net.PacketConn
	keys     [][]byte
	handlers Handlers
	now      func() time.Time
	counters Counters
}

// NewGossip makes a gossip on an open socket; the first key signs, all keys are accepted.
func NewGossip(node *Node, conn net.PacketConn, keys [][]byte, h Handlers) *Gossip {
	return &Gossip{node: node, conn: conn, keys: keys, handlers: h, now: time.Now}
}

// Run receives and ticks until the context ends; then it closes the socket.
func (g *Gossip) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	received := spawner.Go(ctx, g.receive)
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Tick(now, out) })
		case <-ctx.Done():
			<-received
			return ctx.Err()
		}
	}
}

func (g *Gossip) receive(ctx context.Context) error {
	buf := make([]byte, 1<<16)
	for {
		size, _, err := g.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		g.take(buf[:size])
	}
}

// take handles one packet; one that cannot be decoded, or makes the node panic, is dropped and counted.
func (g *Gossip) take(b []byte) {
	err := g.handle(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.PacketsIn++
	g.counters.BytesIn += uint64(len(b))
	if err != nil {
		g.counters.Dropped++
	}
}

func (g *Gossip) handle(b []byte) (err error) {
	defer spawner.Recover("packet", &err)
	p, err := Decode(g.keys, b)
	if err != nil {
		return err
	}
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Receive(now, p, out) })
	return nil
}

// Do runs f on the node and then does what it asks for.
func (g *Gossip) Do(f func(n *Node, now time.Time, out []Action) []Action) {
	actions := g.decide(f)
	for i := range actions {
		g.act(&actions[i])
	}
}

func (g *Gossip) decide(f func(n *Node, now time.Time, out []Action) []Action) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.node, g.now(), nil)
}

func (g *Gossip) act(a *Action) {
	switch a.Kind {
	case ActionSend:
		g.transmit(a.To, a.Packet)
	case ActionChanged:
		g.handlers.Changed(a.Member)
	case ActionPull:
		g.handlers.Pull(a.To)
	case ActionNews:
		g.handlers.News(a.News)
	case ActionWoke:
		g.handlers.Woke(a.Paused)
	}
}

func (g *Gossip) transmit(to Member, p *Packet) {
	b, err := p.Encode(g.keys[0])
	if err != nil {
		return
	}
	size, err := g.conn.WriteTo(b, net.UDPAddrFromAddrPort(to.Address))
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.PacketsOut++
	g.counters.BytesOut += uint64(size)
}

// Tell spreads news to all VMs.
func (g *Gossip) Tell(x News) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Tell(now, x, out) })
}

// SetHead spreads the configuration revision that this VM holds.
func (g *Gossip) SetHead(head modeler.Revision) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.SetHead(now, head, out) })
}

// Leave tells the others that this VM leaves.
func (g *Gossip) Leave(heirs []Heir) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Leave(now, heirs, out) })
}

// MergeHeirs takes in the heirs that another VM knows.
func (g *Gossip) MergeHeirs(heirs []Heir) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action {
		for _, h := range heirs {
			n.mergeHeir(now, h)
		}
		return out
	})
}

// MergeMembers takes in the members that another VM knows.
func (g *Gossip) MergeMembers(members []Member) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.MergeMembers(now, members, out) })
}

// MergeNews takes in the news that another VM knows.
func (g *Gossip) MergeNews(news []News) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action {
		for _, x := range news {
			out = n.mergeNews(now, x, out)
		}
		return out
	})
}

// Look runs f on the node, which it must not change.
func (g *Gossip) Look(f func(*Node)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.node)
}

// Members returns this VM and all others known.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append(g.node.Members(), g.node.Self())
}

// Find returns the live member that runs the incarnation that answers for i.
func (g *Gossip) Find(i ticketer.Incarnation) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i = g.node.Heir(i)
	for _, p := range g.node.peers {
		if p.Incarnation == i && p.State <= Suspect {
			return p.Member, true
		}
	}
	return Member{}, false
}

// Counters returns the traffic so far.
func (g *Gossip) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counters
	c.Dropped += g.node.dropped
	return c
}
