package gossiper

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

func (n *Node) ping(now time.Time, out []Action) []Action {
	target, ok := n.nextTarget()
	if !ok {
		return out
	}
	n.sequence++
	n.probes[n.sequence] = &probe{target: target, sentAt: now}
	return n.send(now, n.peers[target].Member, &Packet{Kind: Ping, Sequence: n.sequence, Target: target}, out)
}

// nextTarget returns the next member to probe. It walks all live members in a random order that is renewed each round.
func (n *Node) nextTarget() (modeler.VMName, bool) {
	for range 2 {
		for n.probeIndex < len(n.probeOrder) {
			name := n.probeOrder[n.probeIndex]
			n.probeIndex++
			if p := n.peers[name]; p != nil && p.State <= Suspect {
				return name, true
			}
		}
		n.shuffle()
	}
	return "", false
}

// shuffle starts a new round of probes. It sorts the names before it shuffles them, because the order of a map would
// make the result depend on more than the random source.
func (n *Node) shuffle() {
	n.probeOrder, n.probeIndex = n.probeOrder[:0], 0
	for name, p := range n.peers {
		if p.State <= Suspect {
			n.probeOrder = append(n.probeOrder, name)
		}
	}
	slices.Sort(n.probeOrder)
	for i := len(n.probeOrder) - 1; i > 0; i-- {
		j := n.random(i + 1)
		n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
	}
}

// checkProbes sends indirect probes or suspects the target, as the timeouts of the open probes pass.
// Both timeouts grow with this VM's health score.
func (n *Node) checkProbes(now time.Time, out []Action) []Action {
	factor := time.Duration(1 + n.healthScore)
	for seq, pr := range n.probes {
		switch {
		case pr.acked:
			delete(n.probes, seq)
		case now.Sub(pr.sentAt) >= Period*factor:
			delete(n.probes, seq)
			n.healthScore = min(MaxHealthScore, n.healthScore+1)
			out = n.markSuspect(now, pr.target, out)
		case !pr.indirectSent && now.Sub(pr.sentAt) >= ProbeTimeout*factor:
			pr.indirectSent = true
			out = n.probeIndirectly(now, seq, pr.target, out)
		}
	}
	return out
}

// probeIndirectly asks random members to ping the target, and pings it once more itself.
func (n *Node) probeIndirectly(now time.Time, seq uint64, target modeler.VMName, out []Action) []Action {
	for _, m := range n.randomMembers(IndirectProbes, target) {
		out = n.send(now, m, &Packet{Kind: PingRequest, Sequence: seq, Target: target}, out)
	}
	if p := n.peers[target]; p != nil {
		out = n.send(now, p.Member, &Packet{Kind: Ping, Sequence: seq, Target: target}, out)
	}
	return out
}

func (n *Node) markSuspect(now time.Time, name modeler.VMName, out []Action) []Action {
	p := n.peers[name]
	if p == nil || p.State != Alive {
		return out
	}
	m := p.Member
	m.State = Suspect
	return n.MergeMembers(now, []Member{m}, out)
}

// checkSuspects declares suspects dead that have not refuted within the suspicion timeout.
func (n *Node) checkSuspects(now time.Time, out []Action) []Action {
	if !n.hasSuspect() {
		return out
	}
	timeout := n.suspicionTimeout()
	for _, p := range n.peers {
		if p.State == Suspect && now.Sub(p.suspectedAt) >= timeout {
			m := p.Member
			m.State = Dead
			out = n.MergeMembers(now, []Member{m}, out)
		}
	}
	return out
}

func (n *Node) hasSuspect() bool {
	for _, p := range n.peers {
		if p.State == Suspect {
			return true
		}
	}
	return false
}

// suspicionTimeout grows with the logarithm of the fleet size, because a refutation takes longer to reach
// a larger fleet.
func (n *Node) suspicionTimeout() time.Duration {
	return time.Duration(SuspicionFactor * math.Max(1, math.Log10(float64(n.aliveCount+1))) * float64(Period))
}
