package gossiper

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// ActionKind tells the actions of a node apart.
type ActionKind uint8

// The actions that a node asks for.
const (
	ActionSend ActionKind = iota
	ActionChanged
	ActionPull
	ActionNews
	ActionWoke
)

// Action is one thing that the owner of a node has to do.
type Action struct {
	Kind   ActionKind
	To     Member
	Packet *Packet
	Member Member
	News   News
	Paused time.Duration
}

type peer struct {
	Member
	changed   time.Time
	suspected time.Time
	lastStamp recorder.Stamp
}

type probe struct {
	target   modeler.VMName
	sent     time.Time
	indirect bool
	acked    bool
}

type relayed struct {
	origin   modeler.VMName
	sequence uint64
	at       time.Time
}

type rumor struct {
	sent   int
	member modeler.VMName
	news   *News
	heir   *Heir
}

// Node is the membership protocol of one VM as a state machine without clock or I/O.
type Node struct {
	self     Member
	peers    map[modeler.VMName]*peer
	alive    int
	order    []modeler.VMName
	position int
	probes   map[uint64]*probe
	relays   map[uint64]relayed
	sequence uint64
	nextPing time.Time
	nextFan  time.Time
	fans     int
	lastTick time.Time
	lastWord time.Time
	health   int
	tokens   float64
	rumors   []*rumor
	news     map[newsKey]News
	heirs    map[ticketer.Incarnation]Heir
	head     modeler.Revision
	pulling  time.Time
	random   func(n int) int
	clock    *recorder.Clock
	refuting bool
	dropped  uint64
}

// Option changes a Node under construction.
type Option func(*Node)

// WithRefutation switches off the answer to a false suspicion; tests use it to show that their check trips.
func WithRefutation(on bool) Option { return func(n *Node) { n.refuting = on } }

// NewNode makes a node that knows only itself.
func NewNode(self Member, clock *recorder.Clock, random func(n int) int, options ...Option) *Node {
	n := &Node{
		self: self, clock: clock, random: random, refuting: true, tokens: BurstBytes,
		peers:  map[modeler.VMName]*peer{},
		probes: map[uint64]*probe{},
		relays: map[uint64]relayed{},
		news:   map[newsKey]News{},
		heirs:  map[ticketer.Incarnation]Heir{},
	}
	for _, o := range options {
		o(n)
	}
	n.spreadMember(self.Name)
	return n
}

// Alone reports whether no other VM was heard of for longer than IsolatedAfter.
func (n *Node) Alone(now time.Time) bool { return now.Sub(n.lastWord) > IsolatedAfter }

// Receive takes in one packet.
func (n *Node) Receive(now time.Time, p *Packet, out []Action) []Action {
	if p.From == n.self.Name {
		return out
	}
	if old := n.peers[p.From]; old != nil && old.Incarnation == p.Incarnation {
		if !old.lastStamp.Before(p.Stamp) {
			n.dropped++
			return out
		}
		old.lastStamp = p.Stamp
	}
	n.lastWord = now
	n.clock.Observe(p.Stamp)
	out = n.MergeMembers(now, p.Members, out)
	for _, h := range p.Heirs {
		n.mergeHeir(now, h)
	}
	for _, x := range p.News {
		out = n.mergeNews(now, x, out)
	}
	out = n.heard(now, p, out)
	switch p.Kind {
	case Ping:
		out = n.answerPing(p, out)
	case PingRequest:
		out = n.relayPing(now, p, out)
	case Ack:
		out = n.acked(p, out)
	}
	return out
}

// heard asks for a pull if the sender holds a later configuration.
func (n *Node) heard(now time.Time, p *Packet, out []Action) []Action {
	if p.Head <= n.head || now.Before(n.pulling) {
		return out
	}
	from := n.peers[p.From]
	if from == nil {
		return out
	}
	n.pulling = now.Add(RumorPeriod)
	return append(out, Action{Kind: ActionPull, To: from.Member})
}

func (n *Node) answerPing(p *Packet, out []Action) []Action {
	to := n.peers[p.From]
	if to == nil || (p.Target != "" && p.Target != n.self.Name) {
		return out
	}
	return n.send(to.Member, &Packet{Kind: Ack, Sequence: p.Sequence}, out)
}

func (n *Node) relayPing(now time.Time, p *Packet, out []Action) []Action {
	to := n.peers[p.Target]
	if to == nil {
		return out
	}
	n.sequence++
	n.relays[n.sequence] = relayed{p.From, p.Sequence, now}
	return n.send(to.Member, &Packet{Kind: Ping, Sequence: n.sequence}, out)
}

func (n *Node) acked(p *Packet, out []Action) []Action {
	if r, ok := n.relays[p.Sequence]; ok {
		delete(n.relays, p.Sequence)
		if to := n.peers[r.origin]; to != nil {
			out = n.send(to.Member, &Packet{Kind: Ack, Sequence: r.sequence}, out)
		}
		return out
	}
	if b := n.probes[p.Sequence]; b != nil && !b.acked {
		b.acked = true
		n.health = max(0, n.health-1)
	}
	return out
}

// Tick tells the node the time; the owner calls it every TickPeriod.
func (n *Node) Tick(now time.Time, out []Action) []Action {
	if !n.lastTick.IsZero() {
		gap := now.Sub(n.lastTick)
		n.tokens = min(BurstBytes, n.tokens+gap.Seconds()*BytesPerSecond)
		if gap > PauseLimit {
			out = n.woke(now, gap, out)
		}
	}
	n.lastTick = now
	out = n.checkProbes(now, out)
	out = n.checkSuspects(now, out)
	if !now.Before(n.nextPing) {
		n.nextPing = now.Add(Period)
		out = n.ping(now, out)
		n.forget(now)
	}
	if n.fans > 0 && !now.Before(n.nextFan) {
		out = n.fan(now, out)
	}
	return out
}

// woke forgets the probes and extends the suspicions that ran while the process was paused.
func (n *Node) woke(now time.Time, gap time.Duration, out []Action) []Action {
	clear(n.probes)
	for _, p := range n.peers {
		if p.State == Suspect {
			p.suspected = now
		}
	}
	n.health = MaxHealth / 2
	return append(out, Action{Kind: ActionWoke, Paused: gap})
}

func (n *Node) ping(now time.Time, out []Action) []Action {
	target, ok := n.nextTarget()
	if !ok {
		return out
	}
	n.sequence++
	n.probes[n.sequence] = &probe{target: target, sent: now}
	return n.send(n.peers[target].Member, &Packet{Kind: Ping, Sequence: n.sequence, Target: target}, out)
}

// nextTarget walks all members in a random order that is renewed each round.
func (n *Node) nextTarget() (modeler.VMName, bool) {
	for range 2 {
		for n.position < len(n.order) {
			name := n.order[n.position]
			n.position++
			if p := n.peers[name]; p != nil && p.State <= Suspect {
				return name, true
			}
		}
		n.shuffle()
	}
	return "", false
}

// shuffle sorts before it shuffles, so that the order depends on the random source alone.
func (n *Node) shuffle() {
	n.order, n.position = n.order[:0], 0
	for name, p := range n.peers {
		if p.State <= Suspect {
			n.order = append(n.order, name)
		}
	}
	slices.Sort(n.order)
	for i := len(n.order) - 1; i > 0; i-- {
		j := n.random(i + 1)
		n.order[i], n.order[j] = n.order[j], n.order[i]
	}
}

func (n *Node) checkProbes(now time.Time, out []Action) []Action {
	slow := time.Duration(1 + n.health)
	for seq, b := range n.probes {
		switch {
		case b.acked:
			delete(n.probes, seq)
		case now.Sub(b.sent) >= Period*slow:
			delete(n.probes, seq)
			n.health = min(MaxHealth, n.health+1)
			out = n.suspect(now, b.target, out)
		case !b.indirect && now.Sub(b.sent) >= ProbeTimeout*slow:
			b.indirect = true
			out = n.probeThrough(seq, b.target, out)
		}
	}
	return out
}

func (n *Node) probeThrough(seq uint64, target modeler.VMName, out []Action) []Action {
	for _, m := range n.some(IndirectProbes, target) {
		out = n.send(m, &Packet{Kind: PingRequest, Sequence: seq, Target: target}, out)
	}
	if p := n.peers[target]; p != nil {
		out = n.send(p.Member, &Packet{Kind: Ping, Sequence: seq, Target: target}, out)
	}
	return out
}

func (n *Node) suspect(now time.Time, name modeler.VMName, out []Action) []Action {
	p := n.peers[name]
	if p == nil || p.State != Alive {
		return out
	}
	m := p.Member
	m.State = Suspect
	return n.MergeMembers(now, []Member{m}, out)
}

func (n *Node) checkSuspects(now time.Time, out []Action) []Action {
	if !n.anySuspect() {
		return out
	}
	limit := n.suspicionTime()
	for _, p := range n.peers {
		if p.State == Suspect && now.Sub(p.suspected) >= limit {
			m := p.Member
			m.State = Dead
			out = n.MergeMembers(now, []Member{m}, out)
		}
	}
	return out
}

func (n *Node) anySuspect() bool {
	for _, p := range n.peers {
		if p.State == Suspect {
			return true
		}
	}
	return false
}

// suspicionTime grows with the logarithm of the fleet, so that a refutation has time to come round.
func (n *Node) suspicionTime() time.Duration {
	return time.Duration(SuspicionFactor * math.Max(1, math.Log10(float64(n.alive+1))) * float64(Period))
}

// forget drops what is no longer needed.
func (n *Node) forget(now time.Time) {
	for name, p := range n.peers {
		if p.State >= Dead && now.Sub(p.changed) > DeadMemory {
			delete(n.peers, name)
		}
	}
	for k, x := range n.news {
		if !now.Before(x.Until) {
			delete(n.news, k)
		}
	}
	for k, h := range n.heirs {
		if !now.Before(h.Until) {
			delete(n.heirs, k)
		}
	}
	for seq, r := range n.relays {
		if now.Sub(r.at) > Period {
			delete(n.relays, seq)
		}
	}
}
