package gossiper

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Approximate sizes of the parts of a packet, in bytes.
const (
	headerBytes = 90
	newsBytes   = 44
	heirBytes   = 30
)

// send completes a packet with what is to be spread, within the budget of bytes.
func (n *Node) send(to Member, p *Packet, out []Action) []Action {
	p.From, p.Incarnation, p.Head = n.self.Name, n.self.Incarnation, n.head
	p.Stamp = n.clock.Now()
	p.Members = append(p.Members, n.self)
	if q := n.peers[to.Name]; q != nil && q.State == Suspect {
		p.Members = append(p.Members, q.Member)
	}
	size := headerBytes + MemberBytes*len(p.Members)
	if n.tokens > 0 {
		size = n.pack(p, size)
	}
	n.tokens -= float64(size)
	return append(out, Action{Kind: ActionSend, To: to, Packet: p})
}

// pack adds the rumors that were sent least often and drops those that were sent often enough.
func (n *Node) pack(p *Packet, size int) int {
	limit := n.repeats()
	slices.SortStableFunc(n.rumors, func(a, b *rumor) int { return cmp.Compare(a.sent, b.sent) })
	for _, r := range n.rumors {
		cost := n.add(p, r, size)
		size += cost
		if cost > 0 {
			r.sent++
		}
	}
	n.rumors = slices.DeleteFunc(n.rumors, func(r *rumor) bool { return r.sent >= limit })
	return size
}

// repeats returns how often a rumor is sent by each VM. A VM is missed by all of them with a probability that falls with the square of the fleet; the comparison of members finds it later.
func (n *Node) repeats() int {
	return max(MinRepeats, int(math.Ceil(RepeatFactor*math.Log(float64(n.alive+2)))))
}

func (n *Node) add(p *Packet, r *rumor, size int) int {
	switch {
	case r.news != nil && len(p.News) < MaxNews && size+newsBytes <= MaxPacketBytes:
		p.News = append(p.News, *r.news)
		return newsBytes
	case r.heir != nil && len(p.Heirs) < MaxHeirs && size+heirBytes <= MaxPacketBytes:
		p.Heirs = append(p.Heirs, *r.heir)
		return heirBytes
	case r.member == n.self.Name:
		r.sent++
		return 0
	case r.member != "" && len(p.Members) < MaxMembers && size+MemberBytes <= MaxPacketBytes:
		if m := n.peers[r.member]; m != nil {
			p.Members = append(p.Members, m.Member)
			return MemberBytes
		}
		r.sent = math.MaxInt / 2
	}
	return 0
}

// fan sends what is urgent to FanOut random members.
func (n *Node) fan(now time.Time, out []Action) []Action {
	n.fans--
	n.nextFan = now.Add(RumorPeriod)
	for _, m := range n.some(FanOut, "") {
		out = n.send(m, &Packet{Kind: Rumor}, out)
	}
	return out
}

// some returns up to k random live members other than the one named.
func (n *Node) some(k int, but modeler.VMName) []Member {
	var out []Member
	if len(n.order) == 0 {
		n.shuffle()
	}
	for range 3 * k {
		if len(out) == k || len(n.order) == 0 {
			break
		}
		name := n.order[n.random(len(n.order))]
		p := n.peers[name]
		if p == nil || p.State > Suspect || name == but || slices.ContainsFunc(out, func(m Member) bool { return m.Name == name }) {
			continue
		}
		out = append(out, p.Member)
	}
	return out
}
