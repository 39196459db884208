package gossiper

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions that a node asks its owner for.
const (
	ActionSend    ActionKind = iota // send Packet to To
	ActionChanged                   // Member is new, or its state or incarnation changed
	ActionPull                      // pull the configuration from To, which holds a later one
	ActionNews                      // News arrived from another VM
	ActionResumed                   // the process ran again after a pause of length Pause
)

// Action is one thing that the owner of a node has to do. Which fields are set depends on Kind.
type Action struct {
	Kind   ActionKind
	To     Member
	Packet *Packet
	Member Member
	News   News
	Pause  time.Duration
}

type peer struct {
	Member
	changedAt   time.Time
	suspectedAt time.Time
	lastStamp   recorder.Stamp
}

// probe is a Ping from this VM to another VM that awaits its Ack.
type probe struct {
	target       modeler.VMName
	sentAt       time.Time
	indirectSent bool
	acked        bool
}

// relayedPing is a Ping that this VM sent because origin asked for it in a PingRequest with the given sequence number.
// The Ack is passed on to origin with that number.
type relayedPing struct {
	origin     modeler.VMName
	sequence   uint64
	receivedAt time.Time
}

// rumor is a change that is added to packets: a member by name, a piece of news or a successor.
type rumor struct {
	transmissions    int
	maxTransmissions int // 0 if Node.maxTransmissions applies
	member           modeler.VMName
	news             *News
	successor        *Successor
}

// Node is the membership protocol of one VM as a state machine that does no I/O and sets no timer: its owner passes in
// the time and received packets, and performs the actions that the methods append. Only the stamps of the packets that
// it sends come from clock.
type Node struct {
	self         Member
	peers        map[modeler.VMName]*peer
	aliveCount   int              // number of peers that are alive or suspect
	probeOrder   []modeler.VMName // the current round of probes, from probeIndex on
	probeIndex   int
	probes       map[uint64]*probe      // by sequence number
	relayedPings map[uint64]relayedPing // by sequence number
	sequence     uint64                 // sequence number of the last Ping
	nextPing     time.Time              // when to probe the next member
	nextFanOut   time.Time
	fanOutsLeft  int // rounds of rumors still to send
	lastTick     time.Time
	lastReceived time.Time
	healthScore  int     // from 0 (Acks arrive in time) to MaxHealthScore (many were missed)
	byteTokens   float64 // bytes in the token bucket, below 0 after more was sent; every packet uses some
	rumors       []*rumor
	news         map[newsKey]News
	successors   map[ticketer.Incarnation]Successor // by the incarnation that left
	head         modeler.Position                   // up to which this VM holds the configuration
	version      uint64                             // of the configuration in force, the operator's own
	confirmedAt  time.Time                          // see Confirm
	toldAt       time.Time                          // confirmedAt when this VM last told members of it
	epochless    time.Time                          // when a VM last named a head without an epoch, while this VM knew one
	nextPull     time.Time
	random       func(n int) int
	clock        *recorder.Clock
	refuting     bool
	droppedStale uint64 // packets dropped because their stamp was not later than the sender's last
}

// Option changes a Node under construction.
type Option func(*Node)

// WithRefutation sets whether the node refutes false suspicions of its own VM, as it does by default.
// Tests switch this off to prove that their check detects a missing refutation.
func WithRefutation(on bool) Option { return func(n *Node) { n.refuting = on } }

// NewNode returns a node that knows only its own VM.
func NewNode(self Member, clock *recorder.Clock, random func(n int) int, options ...Option) *Node {
	n := &Node{
		self: self, clock: clock, random: random, refuting: true, byteTokens: BurstBytes,
		peers:        map[modeler.VMName]*peer{},
		probes:       map[uint64]*probe{},
		relayedPings: map[uint64]relayedPing{},
		news:         map[newsKey]News{},
		successors:   map[ticketer.Incarnation]Successor{},
	}
	for _, o := range options {
		o(n)
	}
	n.spreadMember(self.Name)
	return n
}

// Isolated reports whether this VM has received no packet for longer than IsolatedAfter.
func (n *Node) Isolated(now time.Time) bool { return now.Sub(n.lastReceived) > IsolatedAfter }

// Receive handles one packet. It drops a packet whose stamp is not later than the last one of its sender's
// incarnation, because such a packet is a replay or was reordered by the network.
func (n *Node) Receive(now time.Time, p *Packet, out []Action) []Action {
	if p.From == n.self.Name {
		return out
	}
	if sender := n.peers[p.From]; sender != nil && sender.Incarnation == p.Incarnation {
		if !sender.lastStamp.Before(p.Stamp) {
			n.droppedStale++
			return out
		}
		sender.lastStamp = p.Stamp
	}
	n.lastReceived = now
	n.clock.Observe(p.Stamp)
	out = n.MergeMembers(now, p.Members, out)
	for _, s := range p.Successors {
		n.mergeSuccessor(now, s)
	}
	for _, x := range p.News {
		out = n.mergeNews(now, x, out)
	}
	if p.Head.Epoch == 0 && !p.Head.IsZero() && n.head.Epoch > 0 {
		n.epochless = now
	}
	out = n.pullIfBehind(now, p, out)
	if p.Confirmed && p.Head.Epoch == n.head.Epoch && !p.Head.After(n.head) {
		out = n.Confirm(now, now.Add(-p.ConfirmAge), out)
	}
	switch p.Kind {
	case Ping:
		out = n.answerPing(now, p, out)
	case PingRequest:
		out = n.relayPing(now, p, out)
	case Ack:
		out = n.handleAck(now, p, out)
	}
	return out
}

// pullIfBehind asks for a pull, at most one in RumorPeriod, if the sender holds a later configuration, or one of a later
// version that the epoch's store has lost.
func (n *Node) pullIfBehind(now time.Time, p *Packet, out []Action) []Action {
	behind := p.Head.After(n.head) || p.Version > n.version
	if !behind || now.Before(n.nextPull) {
		return out
	}
	from := n.peers[p.From]
	if from == nil {
		return out
	}
	n.nextPull = now.Add(RumorPeriod)
	return append(out, Action{Kind: ActionPull, To: from.Member})
}

func (n *Node) answerPing(now time.Time, p *Packet, out []Action) []Action {
	to := n.peers[p.From]
	if to == nil || (p.Target != "" && p.Target != n.self.Name) {
		return out
	}
	return n.send(now, to.Member, &Packet{Kind: Ack, Sequence: p.Sequence}, out)
}

func (n *Node) relayPing(now time.Time, p *Packet, out []Action) []Action {
	to := n.peers[p.Target]
	if to == nil {
		return out
	}
	n.sequence++
	n.relayedPings[n.sequence] = relayedPing{p.From, p.Sequence, now}
	return n.send(now, to.Member, &Packet{Kind: Ping, Sequence: n.sequence}, out)
}

func (n *Node) handleAck(now time.Time, p *Packet, out []Action) []Action {
	if r, ok := n.relayedPings[p.Sequence]; ok {
		delete(n.relayedPings, p.Sequence)
		if to := n.peers[r.origin]; to != nil {
			out = n.send(now, to.Member, &Packet{Kind: Ack, Sequence: r.sequence}, out)
		}
		return out
	}
	if pr := n.probes[p.Sequence]; pr != nil && !pr.acked {
		pr.acked = true
		n.healthScore = max(0, n.healthScore-1)
	}
	return out
}

// Tick does what is due at the time now: probes, their timeouts, expiries and fan-outs.
// The owner calls it every TickPeriod.
func (n *Node) Tick(now time.Time, out []Action) []Action {
	if !n.lastTick.IsZero() {
		gap := now.Sub(n.lastTick)
		n.byteTokens = min(BurstBytes, n.byteTokens+gap.Seconds()*BytesPerSecond)
		if gap > PauseLimit {
			out = n.resume(now, gap, out)
		}
	}
	n.lastTick = now
	out = n.checkProbes(now, out)
	out = n.checkSuspects(now, out)
	if !now.Before(n.nextPing) {
		n.nextPing = now.Add(Period)
		out = n.ping(now, out)
		n.expire(now)
	}
	if n.fanOutsLeft > 0 && !now.Before(n.nextFanOut) {
		out = n.fanOut(now, out)
	}
	return out
}

// resume handles a pause of the process. It drops the open probes and restarts the suspicion timeouts,
// because the process could receive neither Acks nor refutations during the pause.
func (n *Node) resume(now time.Time, gap time.Duration, out []Action) []Action {
	clear(n.probes)
	for _, p := range n.peers {
		if p.State == Suspect {
			p.suspectedAt = now
		}
	}
	n.healthScore = MaxHealthScore / 2
	return append(out, Action{Kind: ActionResumed, Pause: gap})
}

// expire removes members that have been dead or left for DeadRetention, expired news and successors,
// and relayed pings that got no Ack within Period.
func (n *Node) expire(now time.Time) {
	for name, p := range n.peers {
		if p.State >= Dead && now.Sub(p.changedAt) > DeadRetention {
			delete(n.peers, name)
		}
	}
	for k, x := range n.news {
		if !now.Before(x.Until) {
			delete(n.news, k)
		}
	}
	for k, s := range n.successors {
		if !now.Before(s.Until) {
			delete(n.successors, k)
		}
	}
	for seq, r := range n.relayedPings {
		if now.Sub(r.receivedAt) > Period {
			delete(n.relayedPings, seq)
		}
	}
}
