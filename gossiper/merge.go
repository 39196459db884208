package gossiper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// MergeMembers takes in descriptions of members and appends what changed.
func (n *Node) MergeMembers(now time.Time, members []Member, out []Action) []Action {
	for _, m := range members {
		if m.Name == n.self.Name {
			n.refute(m)
			continue
		}
		out = n.merge(now, m, out)
	}
	return out
}

func (n *Node) merge(now time.Time, m Member, out []Action) []Action {
	old := n.peers[m.Name]
	if old == nil {
		if m.State >= Dead {
			return out
		}
		old = &peer{}
		n.peers[m.Name] = old
		n.order = append(n.order, m.Name)
	} else if !m.Supersedes(old.Member) {
		return out
	}
	if old.Incarnation != m.Incarnation {
		old.lastStamp.Wall = 0
	}
	wasAlive := old.Name != "" && old.State <= Suspect
	changed := old.Name == "" || old.State != m.State || old.Incarnation != m.Incarnation
	old.Member = m
	if isAlive := m.State <= Suspect; isAlive != wasAlive {
		n.alive += map[bool]int{true: 1, false: -1}[isAlive]
	}
	if changed {
		old.changed = now
		if m.State == Suspect {
			old.suspected = now
		}
		out = append(out, Action{Kind: ActionChanged, Member: m})
	}
	n.spreadMember(m.Name)
	return out
}

// refute answers a description of this VM that is not its own with a later version.
func (n *Node) refute(m Member) {
	if n.self.State == Left || !n.refuting {
		return
	}
	if m.Version < n.self.Version || m == n.self {
		return
	}
	n.self.Version = m.Version + 1
	n.spreadMember(n.self.Name)
}

func (n *Node) mergeHeir(now time.Time, h Heir) {
	if _, ok := n.heirs[h.From]; ok || !now.Before(h.Until) {
		return
	}
	n.heirs[h.From] = h
	n.rumors = append(n.rumors, &rumor{heir: &h})
	n.fans = RumorRounds
}

func (n *Node) mergeNews(now time.Time, x News, out []Action) []Action {
	if !now.Before(x.Until) || !x.Until.After(n.news[x.key()].Until) {
		return out
	}
	n.news[x.key()] = x
	n.rumors = append(n.rumors, &rumor{news: &x})
	n.fans = RumorRounds
	n.nextFan = now
	return append(out, Action{Kind: ActionNews, News: x})
}

func (n *Node) spreadMember(name modeler.VMName) {
	for _, r := range n.rumors {
		if r.member == name {
			r.sent = 0
			return
		}
	}
	n.rumors = append(n.rumors, &rumor{member: name})
}

// Tell spreads news that this VM found itself.
func (n *Node) Tell(now time.Time, x News, out []Action) []Action {
	if !x.Until.After(n.news[x.key()].Until) {
		return out
	}
	n.news[x.key()] = x
	n.rumors = append(n.rumors, &rumor{news: &x})
	n.fans = RumorRounds
	return n.fan(now, out)
}

// SetHead records the configuration revision that this VM holds and spreads a new one at once.
func (n *Node) SetHead(now time.Time, head modeler.Revision, out []Action) []Action {
	if head <= n.head {
		return out
	}
	n.head = head
	n.fans = RumorRounds
	return n.fan(now, out)
}

// Leave tells the others that this VM leaves, and which incarnation answers for its tickets if there is one.
func (n *Node) Leave(now time.Time, heirs []Heir, out []Action) []Action {
	n.self.State = Left
	n.self.Version++
	n.spreadMember(n.self.Name)
	for _, h := range heirs {
		n.mergeHeir(now, h)
	}
	n.fans = RumorRounds
	return n.fan(now, out)
}

// Heir returns the incarnation that answers for the tickets of another, following the chain of those that left.
func (n *Node) Heir(i ticketer.Incarnation) ticketer.Incarnation {
	for range len(n.heirs) + 1 {
		h, ok := n.heirs[i]
		if !ok {
			return i
		}
		i = h.To
	}
	return i
}

// Heirs returns all heirs known.
func (n *Node) Heirs() []Heir {
	out := make([]Heir, 0, len(n.heirs))
	for _, h := range n.heirs {
		out = append(out, h)
	}
	return out
}

// NewsList returns all news that is still valid.
func (n *Node) NewsList() []News {
	out := make([]News, 0, len(n.news))
	for _, x := range n.news {
		out = append(out, x)
	}
	return out
}

// Self returns the description of this VM.
func (n *Node) Self() Member { return n.self }

// Members returns the descriptions of all other VMs known.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.peers))
	for _, p := range n.peers {
		out = append(out, p.Member)
	}
	return out
}

// Digests returns a digest of each bucket of members, by which two VMs find where they differ.
func (n *Node) Digests() []uint64 {
	out := make([]uint64, SyncBuckets)
	add := func(m Member) {
		if m.State >= Dead {
			return
		}
		b, sum := digest(m)
		out[b] ^= sum
	}
	add(n.self)
	for _, p := range n.peers {
		add(p.Member)
	}
	return out
}

// Differing returns this VM's members in the buckets whose digest differs.
func (n *Node) Differing(digests []uint64) []Member {
	own := n.Digests()
	var out []Member
	for _, m := range append(n.Members(), n.self) {
		if b, _ := digest(m); b >= len(digests) || digests[b] != own[b] {
			out = append(out, m)
		}
	}
	return out
}

func digest(m Member) (bucket int, sum uint64) {
	name := xxhash.Sum64String(string(m.Name))
	return int(name % SyncBuckets), name*31 ^ m.Version*0x9E3779B97F4A7C15 ^ uint64(m.State)
}
