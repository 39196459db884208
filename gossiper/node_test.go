package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

var epoch = time.Unix(1_800_000_000, 0)

// cluster is a set of nodes on one injected clock, whose packets are delivered without a network.
type cluster struct {
	now     time.Time
	nodes   []*Node
	stopped map[int]bool  // nodes that neither tick nor receive
	actions []Action      // all actions so far except ActionSend
	onSend  func(*Packet) // called for each packet sent, if set
}

func member(i int) Member {
	return Member{
		Name: modeler.VMName(fmt.Sprintf("entry-%d", i)), Domain: "seoul", Incarnation: ticketer.Incarnation(i + 1), Version: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8082),
		Admin:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8081),
	}
}

func newCluster(n int, options ...Option) *cluster {
	c := &cluster{now: epoch, stopped: map[int]bool{}}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		clock := recorder.NewClock(func() time.Time { return c.now })
		c.nodes = append(c.nodes, NewNode(member(i), clock, random.IntN, options...))
	}
	for _, a := range c.nodes {
		for i := range n {
			c.deliver(a.MergeMembers(c.now, []Member{member(i)}, nil))
		}
	}
	return c
}

// deliver performs the actions, and those that the delivered packets cause.
func (c *cluster) deliver(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Kind != ActionSend {
			c.actions = append(c.actions, a)
			continue
		}
		if c.onSend != nil {
			c.onSend(a.Packet)
		}
		for i, n := range c.nodes {
			if n.self.Name == a.To.Name && !c.stopped[i] {
				actions = append(actions, n.Receive(c.now, a.Packet, nil)...)
			}
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(TickPeriod)
		for i, n := range c.nodes {
			if !c.stopped[i] {
				c.deliver(n.Tick(c.now, nil))
			}
		}
	}
}

// statesAtPeers counts the states in which the other running nodes hold a member.
func (c *cluster) statesAtPeers(subject int) map[State]int {
	out := map[State]int{}
	for i, n := range c.nodes {
		if i != subject && !c.stopped[i] {
			out[n.peers[member(subject).Name].State]++
		}
	}
	return out
}

func TestNodeDetectsDeadMember(t *testing.T) {
	c := newCluster(9)
	c.run(3 * time.Second)
	c.stopped[4] = true
	c.run(20 * time.Second)
	if s := c.statesAtPeers(4); s[Dead] != 8 {
		t.Errorf("states of a stopped VM at the 8 other VMs: %v, want all dead", s)
	}
	for i := range 9 {
		if s := c.statesAtPeers(i); i != 4 && s[Alive] != 7 {
			t.Errorf("states of running VM %d at the 7 other running VMs: %v, want all alive", i, s)
		}
	}
}

func TestNodeRefutesSuspicion(t *testing.T) {
	for _, refuting := range []bool{true, false} {
		c := newCluster(5, WithRefutation(refuting))
		c.run(2 * time.Second)
		m := c.nodes[1].Self()
		m.State = Suspect
		c.deliver(c.nodes[0].MergeMembers(c.now, []Member{m}, nil))
		c.run(15 * time.Second)
		alive := c.statesAtPeers(1)[Alive] == 4
		if alive != refuting {
			t.Errorf("refutation %v: states of a falsely suspected VM at the 4 other VMs: %v, want all alive only with refutation",
				refuting, c.statesAtPeers(1))
		}
	}
}

func TestNodeResumesAfterPause(t *testing.T) {
	c := newCluster(5)
	c.run(3 * time.Second)
	c.stopped[2] = true
	c.run(3 * time.Second)
	c.stopped[2] = false
	c.deliver(c.nodes[2].Tick(c.now, nil))
	resumed := false
	for _, a := range c.actions {
		resumed = resumed || a.Kind == ActionResumed && a.Pause >= 3*time.Second
	}
	if !resumed {
		t.Error("no ActionResumed with a pause of at least 3s from a node that did not tick for 3s")
	}
	c.run(15 * time.Second)
	if s := c.statesAtPeers(2); s[Alive] != 4 {
		t.Errorf("states of a VM that was paused for 3s at the 4 other VMs: %v, want all alive", s)
	}
}

func TestNodeSpreadsNewsAndRevision(t *testing.T) {
	c := newCluster(9)
	c.run(2 * time.Second)
	c.deliver(c.nodes[3].Broadcast(c.now, News{Kind: NewsQuarantine, Fingerprint: 42, Until: c.now.Add(time.Minute)}, nil))
	c.deliver(c.nodes[3].SetHead(c.now, modeler.Position{Revision: 17}, 0, nil))
	c.run(time.Second)
	received, pulls := 0, map[modeler.VMName]bool{}
	for _, a := range c.actions {
		if a.Kind == ActionNews && a.News.Fingerprint == 42 {
			received++
		}
		if a.Kind == ActionPull {
			pulls[a.To.Name] = true
		}
	}
	if received != 8 {
		t.Errorf("%d of 8 VMs received the news within a second", received)
	}
	if len(pulls) == 0 {
		t.Error("no VM pulls the later configuration")
	}
}

func TestNodeDropsReplays(t *testing.T) {
	c := newCluster(2)
	actions := c.nodes[0].Tick(c.now, nil)
	var p *Packet
	for _, a := range actions {
		if a.Kind == ActionSend {
			p = a.Packet
		}
	}
	c.nodes[1].Receive(c.now, p, nil)
	if out := c.nodes[1].Receive(c.now, p, nil); len(out) != 0 || c.nodes[1].droppedStale != 1 {
		t.Errorf("a replayed packet was not counted once as stale, or it caused %d actions, want 0", len(out))
	}
}

func TestNodeFollowsSuccessors(t *testing.T) {
	c := newCluster(2)
	n := c.nodes[0]
	until := c.now.Add(time.Minute)
	n.mergeSuccessor(c.now, Successor{10, 11, until})
	n.mergeSuccessor(c.now, Successor{11, 12, until})
	n.mergeSuccessor(c.now, Successor{10, 99, until})
	if got := n.Successor(10); got != 12 {
		t.Errorf("successor of 10 is %d, want 12", got)
	}
	if got := n.Successor(5); got != 5 {
		t.Errorf("successor of 5, which has not left, is %d, want 5", got)
	}
}

func TestSupersedes(t *testing.T) {
	describe := func(v uint64, s State) Member { return Member{Version: v, State: s} }
	tests := []struct {
		m, old Member
		want   bool
	}{
		{describe(1, Alive), describe(1, Alive), false},
		{describe(1, Suspect), describe(1, Alive), true},
		{describe(1, Alive), describe(1, Suspect), false},
		{describe(2, Alive), describe(1, Dead), true},
		{describe(1, Dead), describe(2, Alive), false},
		{describe(1, Left), describe(1, Dead), true},
	}
	for _, tt := range tests {
		if got := tt.m.Supersedes(tt.old); got != tt.want {
			t.Errorf("%v supersedes %v: %v, want the opposite", tt.m, tt.old, got)
		}
	}
}

func TestPacket(t *testing.T) {
	keys := [][]byte{[]byte("the first shared key"), []byte("the second shared key")}
	p := &Packet{
		Kind: Ping, From: "entry-1", Incarnation: 7, Sequence: 3, Head: modeler.Position{Epoch: 2, Revision: 9}, Version: 4, Members: []Member{member(1)},
		News: []News{{Kind: NewsDraining, Address: member(2).Address, Until: time.UnixMilli(5000)}}, Successors: []Successor{{1, 2, time.UnixMilli(6000)}},
	}
	b, err := p.Encode(keys[1])
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(keys, b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(p) {
		t.Errorf("decoded %v, error %v, want the encoded packet", got, err)
	}
	for i := range b {
		bad := append([]byte(nil), b...)
		bad[i] ^= 1
		if _, err := Decode(keys, bad); err == nil {
			t.Fatalf("a datagram with byte %d changed was accepted", i)
		}
	}
	if _, err := Decode(keys[:1], b); err == nil {
		t.Error("a datagram authenticated with an unknown key was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	keys := [][]byte{[]byte("the first shared key")}
	p := &Packet{Kind: Ping, From: "entry-1", Members: []Member{member(1)}}
	b, _ := p.Encode(keys[0])
	f.Add(b[:len(b)-macBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := Decode(keys, append(body, packetMAC(keys[0], body)...))
		if err != nil {
			return
		}
		c := newCluster(2)
		c.nodes[0].Receive(c.now, got, nil)
		c.nodes[0].Tick(c.now, nil)
	})
}

// sentBytes runs one node among n members for a minute of injected time, with the given changes of members per second.
// It returns the bytes and packets that the node sends per second.
func sentBytes(tb testing.TB, n int, changes float64) (bytes, packets float64) {
	tb.Helper()
	c := newCluster(1)
	node := c.nodes[0]
	for i := 1; i < n; i++ {
		node.MergeMembers(c.now, []Member{member(i)}, nil)
	}
	node.rumors = nil
	total, count, pendingChanges := 0, 0, 0.0
	const seconds = 60
	for tick := range seconds * int(time.Second/TickPeriod) {
		c.now = c.now.Add(TickPeriod)
		pendingChanges += changes * TickPeriod.Seconds()
		for ; pendingChanges >= 1; pendingChanges-- {
			m := member(1 + tick%(n-1))
			m.Version = uint64(tick + 2)
			node.MergeMembers(c.now, []Member{m}, nil)
		}
		for _, a := range node.Tick(c.now, nil) {
			if a.Kind != ActionSend {
				continue
			}
			b, err := a.Packet.Encode([]byte("the first shared key"))
			if err != nil {
				tb.Fatal(err)
			}
			if len(b) > MaxPacketBytes+macBytes {
				tb.Fatalf("packet of %d bytes, want at most MaxPacketBytes+macBytes", len(b))
			}
			total, count = total+len(b), count+1
			if a.Packet.Kind == Ping {
				node.Receive(c.now, ackOf(a, c.now), nil)
			}
		}
	}
	return float64(total) / seconds, float64(count) / seconds
}

func ackOf(a Action, now time.Time) *Packet {
	return &Packet{
		Kind: Ack, From: a.To.Name, Incarnation: a.To.Incarnation, Sequence: a.Packet.Sequence,
		Stamp: recorder.Stamp{Wall: now.UnixMicro()}, Members: []Member{a.To},
	}
}

func TestNodeKeepsItsByteBudget(t *testing.T) {
	const maxBytesPerSecond = 4096
	for _, n := range []int{9, 300, 3100} {
		if bytes, _ := sentBytes(t, n, 20); bytes > maxBytesPerSecond {
			t.Errorf("a node among %d members with 20 changes per second sends %.0f bytes/s, want at most 4096", n, bytes)
		}
	}
}

// BenchmarkNode measures a node among up to 3,100 members: time per packet (ns/op) and per tick, memory per member,
// and the bytes and packets that it sends per second at the target rate of restarts. That is restartsPerDay VM restarts
// a day in a fleet of 3,100 VMs, scaled by the number of members, with changesPerRestart member changes each.
func BenchmarkNode(b *testing.B) {
	const restartsPerDay, changesPerRestart, secondsPerDay = 17270, 3, 86400
	for _, n := range []int{9, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("members-%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCluster(1)
			node := c.nodes[0]
			for i := 1; i < n; i++ {
				node.MergeMembers(c.now, []Member{member(i)}, nil)
			}
			node.rumors = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			p := &Packet{Kind: Ping, From: member(1).Name, Incarnation: 2, Members: []Member{member(1), member(2), member(3)}}
			keys := [][]byte{[]byte("the first shared key")}
			b.ResetTimer()
			for i := range b.N {
				p.Stamp.Wall = int64(i + 1)
				wire, _ := p.Encode(keys[0])
				got, _ := Decode(keys, wire)
				node.Receive(c.now, got, nil)
			}
			b.StopTimer()
			start := time.Now()
			const ticks = 200
			for range ticks {
				c.now = c.now.Add(TickPeriod)
				node.Tick(c.now, nil)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/ticks, "ns/tick")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/member")
			bytes, packets := sentBytes(b, n, restartsPerDay*changesPerRestart/float64(secondsPerDay)*float64(n)/3100)
			b.ReportMetric(bytes, "sent-bytes/s")
			b.ReportMetric(packets, "sent-packets/s")
		})
	}
}
