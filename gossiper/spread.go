package gossiper

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Approximate encoded sizes of the parts of a packet, in bytes.
const (
	packetHeaderBytes = 90
	newsBytes         = 44
	successorBytes    = 30
)

// send fills in the sender's fields of a packet and asks for it to be sent. It adds this VM's own description, and
// the target's if the target is suspect, so that the target can refute. Rumors are added while byteTokens is positive.
func (n *Node) send(now time.Time, to Member, p *Packet, out []Action) []Action {
	p.From, p.Incarnation, p.Head, p.Version = n.self.Name, n.self.Incarnation, n.head, n.version
	p.Stamp = n.clock.Now()
	p.Confirmed, p.ConfirmAge = !n.confirmedAt.IsZero(), now.Sub(n.confirmedAt)
	p.Members = append(p.Members, n.self)
	if q := n.peers[to.Name]; q != nil && q.State == Suspect {
		p.Members = append(p.Members, q.Member)
	}
	size := packetHeaderBytes + MemberBytes*len(p.Members)
	if n.byteTokens > 0 {
		size = n.pack(p, size)
	}
	n.byteTokens -= float64(size)
	return append(out, Action{Kind: ActionSend, To: to, Packet: p})
}

// pack adds rumors to a packet, least transmitted first, and returns the packet's new size.
// It removes the rumors that have reached maxTransmissions.
func (n *Node) pack(p *Packet, size int) int {
	limit := n.maxTransmissions()
	slices.SortStableFunc(n.rumors, func(a, b *rumor) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, r := range n.rumors {
		cost := n.addRumor(p, r, size)
		size += cost
		if cost > 0 {
			r.transmissions++
		}
	}
	n.rumors = slices.DeleteFunc(n.rumors, func(r *rumor) bool {
		return r.transmissions >= limit || (r.maxTransmissions > 0 && r.transmissions >= r.maxTransmissions)
	})
	return size
}

// maxTransmissions returns how often each VM sends a rumor. In fleets where this is more than MinTransmissions, the
// probability that a VM gets the rumor from none of them falls with the square of the fleet size. The periodic comparison
// of members (Digests) later reaches such a VM.
func (n *Node) maxTransmissions() int {
	return max(MinTransmissions, int(math.Ceil(RetransmitFactor*math.Log(float64(n.aliveCount+2)))))
}

// addRumor adds a rumor to a packet if there is room, and returns the approximate size of what it added.
func (n *Node) addRumor(p *Packet, r *rumor, size int) int {
	switch {
	case r.news != nil && len(p.News) < MaxNews && size+newsBytes <= MaxPacketBytes:
		p.News = append(p.News, *r.news)
		return newsBytes
	case r.successor != nil && len(p.Successors) < MaxSuccessors && size+successorBytes <= MaxPacketBytes:
		p.Successors = append(p.Successors, *r.successor)
		return successorBytes
	case r.member == n.self.Name:
		// Every packet carries the description of this VM already.
		r.transmissions++
		return 0
	case r.member != "" && len(p.Members) < MaxMembers && size+MemberBytes <= MaxPacketBytes:
		if m := n.peers[r.member]; m != nil {
			p.Members = append(p.Members, m.Member)
			return MemberBytes
		}
		// The member has expired: pack removes its rumor.
		r.transmissions = math.MaxInt / 2
	}
	return 0
}

// fanOut sends the rumors to FanOut random members.
func (n *Node) fanOut(now time.Time, out []Action) []Action {
	n.fanOutsLeft--
	n.nextFanOut = now.Add(RumorPeriod)
	for _, m := range n.randomMembers(FanOut, "") {
		out = n.send(now, m, &Packet{Kind: Rumor}, out)
	}
	return out
}

// randomMembers returns up to k random members that are alive or suspect, without the excluded one.
func (n *Node) randomMembers(k int, excluded modeler.VMName) []Member {
	var out []Member
	if len(n.probeOrder) == 0 {
		n.shuffle()
	}
	for range 3 * k {
		if len(out) == k || len(n.probeOrder) == 0 {
			break
		}
		name := n.probeOrder[n.random(len(n.probeOrder))]
		p := n.peers[name]
		if p == nil || p.State > Suspect || name == excluded || slices.ContainsFunc(out, func(m Member) bool { return m.Name == name }) {
			continue
		}
		out = append(out, p.Member)
	}
	return out
}
