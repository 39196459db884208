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

// Counters count the gossip traffic of one VM since its start.
type Counters struct {
	PacketsIn  uint64 `json:"packets-in"`
	PacketsOut uint64 `json:"packets-out"`
	BytesIn    uint64 `json:"bytes-in"`
	BytesOut   uint64 `json:"bytes-out"`
	Dropped    uint64 `json:"dropped"`
}

// Handlers are the callbacks for the actions of a node. They are called without the lock of the Gossip.
type Handlers struct {
	Changed func(Member)
	Pull    func(Member)
	News    func(News)
	Resumed func(paused time.Duration)
}

// Gossip runs a Node: it sends and receives the node's packets over UDP and calls the handlers.
type Gossip struct {
	mu       sync.Mutex
	node     *Node
	conn     net.PacketConn
	keys     [][]byte
	handlers Handlers
	now      func() time.Time
	counters Counters
}

// NewGossip returns a Gossip on an open socket. The first key authenticates sent packets; any key may authenticate
// received ones.
func NewGossip(node *Node, conn net.PacketConn, keys [][]byte, h Handlers) *Gossip {
	return &Gossip{node: node, conn: conn, keys: keys, handlers: h, now: time.Now}
}

// Run receives packets and ticks the node until the context ends; then it closes the socket.
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
		g.receivePacket(buf[:size])
	}
}

// receivePacket handles one datagram. It counts as dropped if it cannot be decoded or if the node or a handler panics on
// it. After a panic the remaining actions are lost, but what the node has merged from the packet stays.
func (g *Gossip) receivePacket(b []byte) {
	err := g.decodeAndReceive(b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.PacketsIn++
	g.counters.BytesIn += uint64(len(b))
	if err != nil {
		g.counters.Dropped++
	}
}

func (g *Gossip) decodeAndReceive(b []byte) (err error) {
	defer spawner.Recover("packet", &err)
	p, err := Decode(g.keys, b)
	if err != nil {
		return err
	}
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Receive(now, p, out) })
	return nil
}

// Do runs f on the node under the lock and then, without the lock, performs the actions that f returns.
func (g *Gossip) Do(f func(n *Node, now time.Time, out []Action) []Action) {
	actions := g.runLocked(f)
	for i := range actions {
		g.perform(&actions[i])
	}
}

func (g *Gossip) runLocked(f func(n *Node, now time.Time, out []Action) []Action) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.node, g.now(), nil)
}

func (g *Gossip) perform(a *Action) {
	switch a.Kind {
	case ActionSend:
		g.transmit(a.To, a.Packet)
	case ActionChanged:
		g.handlers.Changed(a.Member)
	case ActionPull:
		g.handlers.Pull(a.To)
	case ActionNews:
		g.handlers.News(a.News)
	case ActionResumed:
		g.handlers.Resumed(a.Pause)
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

// Broadcast spreads news from this VM to all other VMs.
func (g *Gossip) Broadcast(x News) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Broadcast(now, x, out) })
}

// SetHead spreads up to which position this VM holds the configuration, and its version.
func (g *Gossip) SetHead(head modeler.Position, version uint64) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.SetHead(now, head, version, out) })
}

// Leave spreads that this VM leaves, and the successors that are responsible for its tickets.
func (g *Gossip) Leave(successors []Successor) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Leave(now, successors, out) })
}

// MergeSuccessors adds the successors that another VM knows.
func (g *Gossip) MergeSuccessors(successors []Successor) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action {
		for _, s := range successors {
			n.mergeSuccessor(now, s)
		}
		return out
	})
}

// MergeMembers merges the members that another VM knows.
func (g *Gossip) MergeMembers(members []Member) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.MergeMembers(now, members, out) })
}

// MergeNews merges the news that another VM knows.
func (g *Gossip) MergeNews(news []News) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action {
		for _, x := range news {
			out = n.mergeNews(now, x, out)
		}
		return out
	})
}

// Inspect runs f on the node under the lock. f must not change the node.
func (g *Gossip) Inspect(f func(*Node)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.node)
}

// Members returns all known members, including this VM.
func (g *Gossip) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append(g.node.Members(), g.node.Self())
}

// FindResponsible returns the other VM that is responsible for the tickets of incarnation i: the one that runs i or its successor.
// It returns false if no other VM that is alive or suspect runs that incarnation.
func (g *Gossip) FindResponsible(i ticketer.Incarnation) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i = g.node.Successor(i)
	for _, p := range g.node.peers {
		if p.Incarnation == i && p.State <= Suspect {
			return p.Member, true
		}
	}
	return Member{}, false
}

// Counters returns the traffic since the start. Dropped includes the stale packets that the node dropped.
func (g *Gossip) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counters
	c.Dropped += g.node.droppedStale
	return c
}
