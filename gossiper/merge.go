package gossiper

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// MergeMembers merges descriptions of members and appends an ActionChanged for each member that changed.
// It refutes descriptions of this VM instead of merging them.
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

// merge adds or updates the description of another VM. A member that is unknown and no longer alive is ignored.
func (n *Node) merge(now time.Time, m Member, out []Action) []Action {
	old := n.peers[m.Name]
	if old == nil {
		if m.State >= Dead {
			return out
		}
		old = &peer{}
		n.peers[m.Name] = old
		n.probeOrder = append(n.probeOrder, m.Name)
	} else if !m.Supersedes(old.Member) {
		return out
	}
	if old.Incarnation != m.Incarnation {
		// The stamps of a new incarnation need not be later than those of the previous one.
		old.lastStamp.Wall = 0
	}
	wasAlive := old.Name != "" && old.State <= Suspect
	changed := old.Name == "" || old.State != m.State || old.Incarnation != m.Incarnation
	old.Member = m
	if isAlive := m.State <= Suspect; isAlive != wasAlive {
		n.aliveCount += map[bool]int{true: 1, false: -1}[isAlive]
	}
	if changed {
		old.changedAt = now
		if m.State == Suspect {
			old.suspectedAt = now
		}
		out = append(out, Action{Kind: ActionChanged, Member: m})
	}
	n.spreadMember(m.Name)
	return out
}

// refute answers a description of this VM that differs from its own and is not older: it raises this VM's version above
// that of the description and spreads its own again.
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

// mergeSuccessor adds and spreads a successor. The first one known for an incarnation stays until it expires.
func (n *Node) mergeSuccessor(now time.Time, s Successor) {
	if _, ok := n.successors[s.From]; ok || !now.Before(s.Until) {
		return
	}
	n.successors[s.From] = s
	n.rumors = append(n.rumors, &rumor{successor: &s})
	n.fanOutsLeft = RumorRounds
}

// mergeNews adds and spreads news that is unknown, or that is valid for longer than the copy known. News of slow
// searchers is cut to MaxSlowValidity, and spread again only if it extends the copy known by MinSlowExtension.
func (n *Node) mergeNews(now time.Time, x News, out []Action) []Action {
	known := n.news[x.key()].Until
	if x.Kind == NewsSlow {
		if limit := now.Add(MaxSlowValidity); x.Until.After(limit) {
			x.Until = limit // the sender's time of day may be ahead
		}
		known = known.Add(MinSlowExtension)
	}
	if !now.Before(x.Until) || !x.Until.After(known) {
		return out
	}
	n.addNews(x)
	if x.Kind != NewsSlow {
		n.nextFanOut = now
	}
	return append(out, Action{Kind: ActionNews, News: x})
}

// spreadMember queues the description of a member as a rumor, or lets a queued one start its transmissions again.
func (n *Node) spreadMember(name modeler.VMName) {
	for _, r := range n.rumors {
		if r.member == name {
			r.transmissions = 0
			return
		}
	}
	n.rumors = append(n.rumors, &rumor{member: name})
}

// Broadcast spreads news from this VM; it does not report the news to the node's owner.
func (n *Node) Broadcast(now time.Time, x News, out []Action) []Action {
	if !x.Until.After(n.news[x.key()].Until) {
		return out
	}
	n.addNews(x)
	return n.fanOut(now, out)
}

// addNews keeps a piece of news and queues it as a rumor. News of slow searchers may come for many searchers at once and
// is sent in one round only.
func (n *Node) addNews(x News) {
	n.news[x.key()] = x
	r := &rumor{news: &x}
	rounds := RumorRounds
	if x.Kind == NewsSlow {
		r.maxTransmissions = FanOut
		rounds = 1
	}
	n.rumors = append(n.rumors, r)
	n.fanOutsLeft = max(n.fanOutsLeft, rounds)
}

// SetHead records up to which position this VM holds the configuration, and its version. A later position or version than
// the last is spread at once.
func (n *Node) SetHead(now time.Time, head modeler.Position, version uint64, out []Action) []Action {
	if head.After(n.head) {
		n.head = head
	} else if version <= n.version {
		return out
	}
	n.version = version
	n.fanOutsLeft = RumorRounds
	return n.fanOut(now, out)
}

// Leave spreads that this VM leaves, and the successors that are responsible for its tickets, if any.
func (n *Node) Leave(now time.Time, successors []Successor, out []Action) []Action {
	n.self.State = Left
	n.self.Version++
	n.spreadMember(n.self.Name)
	for _, s := range successors {
		n.mergeSuccessor(now, s)
	}
	n.fanOutsLeft = RumorRounds
	return n.fanOut(now, out)
}

// Successor returns the incarnation that is responsible for the tickets of i: i itself, or the end of its chain of
// successors.
func (n *Node) Successor(i ticketer.Incarnation) ticketer.Incarnation {
	for range len(n.successors) + 1 {
		s, ok := n.successors[i]
		if !ok {
			return i
		}
		i = s.To
	}
	return i
}

// Successors returns all known successors.
func (n *Node) Successors() []Successor {
	out := make([]Successor, 0, len(n.successors))
	for _, s := range n.successors {
		out = append(out, s)
	}
	return out
}

// NewsList returns all news that has not been removed after its expiry.
func (n *Node) NewsList() []News {
	out := make([]News, 0, len(n.news))
	for _, x := range n.news {
		out = append(out, x)
	}
	return out
}

// Self returns the description of this VM.
func (n *Node) Self() Member { return n.self }

// Members returns the descriptions of all known VMs except this one.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.peers))
	for _, p := range n.peers {
		out = append(out, p.Member)
	}
	return out
}

// Digests returns one digest for each bucket of members, including this VM. Members that are dead or left do not count.
// Two VMs compare their digests to find the buckets in which they differ.
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

// Differing returns the members that this VM knows, itself included, in the buckets whose digests differ from
// the given ones.
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

// digest returns the bucket of a member, which depends on its name alone, and a hash of its name, version and state.
// The digest of a bucket is the XOR of the hashes of its members.
func digest(m Member) (bucket int, sum uint64) {
	name := xxhash.Sum64String(string(m.Name))
	return int(name % SyncBuckets), name*31 ^ m.Version*0x9E3779B97F4A7C15 ^ uint64(m.State)
}
