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

// ring is a few nodes whose packets a test carries by hand, on one injected clock.
type ring struct {
	now   time.Time
	nodes []*Node
	deaf  map[int]bool
	seen  []Action
	sent  func(*Packet)
}

func member(i int) Member {
	return Member{
		Name: modeler.VMName(fmt.Sprintf("entry-%d", i)), Domain: "seoul", Incarnation: ticketer.Incarnation(i + 1), Version: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8082),
		Admin:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8081),
	}
}

func newRing(n int, options ...Option) *ring {
	r := &ring{now: epoch, deaf: map[int]bool{}}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		clock := recorder.NewClock(func() time.Time { return r.now })
		r.nodes = append(r.nodes, NewNode(member(i), clock, random.IntN, options...))
	}
	for _, a := range r.nodes {
		for i := range n {
			r.carry(a.MergeMembers(r.now, []Member{member(i)}, nil))
		}
	}
	return r
}

func (r *ring) carry(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Kind != ActionSend {
			r.seen = append(r.seen, a)
			continue
		}
		if r.sent != nil {
			r.sent(a.Packet)
		}
		for i, n := range r.nodes {
			if n.self.Name == a.To.Name && !r.deaf[i] {
				actions = append(actions, n.Receive(r.now, a.Packet, nil)...)
			}
		}
	}
}

func (r *ring) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(TickPeriod)
		for i, n := range r.nodes {
			if !r.deaf[i] {
				r.carry(n.Tick(r.now, nil))
			}
		}
	}
}

func (r *ring) states(of int) map[State]int {
	out := map[State]int{}
	for i, n := range r.nodes {
		if i != of && !r.deaf[i] {
			out[n.peers[member(of).Name].State]++
		}
	}
	return out
}

func TestNodeFindsTheDead(t *testing.T) {
	r := newRing(9)
	r.run(3 * time.Second)
	r.deaf[4] = true
	r.run(20 * time.Second)
	if s := r.states(4); s[Dead] != 8 {
		t.Errorf("states of a dead VM at the eight others: %v", s)
	}
	for i := range 9 {
		if s := r.states(i); i != 4 && s[Alive] != 7 {
			t.Errorf("states of live VM %d at the others: %v", i, s)
		}
	}
}

func TestNodeRefutesSuspicion(t *testing.T) {
	for _, refuting := range []bool{true, false} {
		r := newRing(5, WithRefutation(refuting))
		r.run(2 * time.Second)
		m := r.nodes[1].Self()
		m.State = Suspect
		r.carry(r.nodes[0].MergeMembers(r.now, []Member{m}, nil))
		r.run(15 * time.Second)
		alive := r.states(1)[Alive] == 4
		if alive != refuting {
			t.Errorf("refuting %v: states of a falsely suspected VM: %v", refuting, r.states(1))
		}
	}
}

func TestNodeWakes(t *testing.T) {
	r := newRing(5)
	r.run(3 * time.Second)
	r.deaf[2] = true
	r.run(3 * time.Second)
	r.deaf[2] = false
	r.carry(r.nodes[2].Tick(r.now, nil))
	woke := false
	for _, a := range r.seen {
		woke = woke || a.Kind == ActionWoke && a.Paused >= 3*time.Second
	}
	if !woke {
		t.Error("a paused node must notice its pause")
	}
	r.run(15 * time.Second)
	if s := r.states(2); s[Alive] != 4 {
		t.Errorf("states of a paused VM at the others: %v", s)
	}
}

func TestNodeSpreadsNewsAndHead(t *testing.T) {
	r := newRing(9)
	r.run(2 * time.Second)
	r.carry(r.nodes[3].Tell(r.now, News{Kind: NewsQuarantine, Subject: 42, Until: r.now.Add(time.Minute)}, nil))
	r.carry(r.nodes[3].SetHead(r.now, 17, nil))
	r.run(time.Second)
	told, pulls := 0, map[modeler.VMName]bool{}
	for _, a := range r.seen {
		if a.Kind == ActionNews && a.News.Subject == 42 {
			told++
		}
		if a.Kind == ActionPull {
			pulls[a.To.Name] = true
		}
	}
	if told != 8 {
		t.Errorf("%d of 8 VMs were told within a second", told)
	}
	if len(pulls) == 0 {
		t.Error("nobody pulls the later configuration")
	}
}

func TestNodeDropsReplays(t *testing.T) {
	r := newRing(2)
	actions := r.nodes[0].Tick(r.now, nil)
	var p *Packet
	for _, a := range actions {
		if a.Kind == ActionSend {
			p = a.Packet
		}
	}
	r.nodes[1].Receive(r.now, p, nil)
	if out := r.nodes[1].Receive(r.now, p, nil); len(out) != 0 || r.nodes[1].dropped != 1 {
		t.Errorf("a replayed packet caused %d actions", len(out))
	}
}

func TestNodeFollowsHeirs(t *testing.T) {
	r := newRing(2)
	n := r.nodes[0]
	until := r.now.Add(time.Minute)
	n.mergeHeir(r.now, Heir{10, 11, until})
	n.mergeHeir(r.now, Heir{11, 12, until})
	n.mergeHeir(r.now, Heir{10, 99, until})
	if got := n.Heir(10); got != 12 {
		t.Errorf("heir of 10 is %d, not 12", got)
	}
	if got := n.Heir(5); got != 5 {
		t.Errorf("heir of 5 is %d, not itself", got)
	}
}

func TestSupersedes(t *testing.T) {
	at := func(v uint64, s State) Member { return Member{Version: v, State: s} }
	tests := []struct {
		m, old Member
		want   bool
	}{
		{at(1, Alive), at(1, Alive), false},
		{at(1, Suspect), at(1, Alive), true},
		{at(1, Alive), at(1, Suspect), false},
		{at(2, Alive), at(1, Dead), true},
		{at(1, Dead), at(2, Alive), false},
		{at(1, Left), at(1, Dead), true},
	}
	for _, tt := range tests {
		if got := tt.m.Supersedes(tt.old); got != tt.want {
			t.Errorf("%v over %v is %v", tt.m, tt.old, got)
		}
	}
}

func TestPacket(t *testing.T) {
	keys := [][]byte{[]byte("the first shared key"), []byte("the second shared key")}
	p := &Packet{
		Kind: Ping, From: "entry-1", Incarnation: 7, Sequence: 3, Head: 9, Members: []Member{member(1)},
		News: []News{{Kind: NewsDraining, Address: member(2).Address, Until: time.UnixMilli(5000)}}, Heirs: []Heir{{1, 2, time.UnixMilli(6000)}},
	}
	b, err := p.Encode(keys[1])
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(keys, b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(p) {
		t.Errorf("decoded %v, %v", got, err)
	}
	for i := range b {
		bad := append([]byte(nil), b...)
		bad[i] ^= 1
		if _, err := Decode(keys, bad); err == nil {
			t.Fatalf("a datagram with byte %d changed was accepted", i)
		}
	}
	if _, err := Decode(keys[:1], b); err == nil {
		t.Error("a datagram by an unknown key was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	keys := [][]byte{[]byte("the first shared key")}
	p := &Packet{Kind: Ping, From: "entry-1", Members: []Member{member(1)}}
	b, _ := p.Encode(keys[0])
	f.Add(b[:len(b)-authBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := Decode(keys, append(body, authenticate(keys[0], body)...))
		if err != nil {
			return
		}
		r := newRing(2)
		r.nodes[0].Receive(r.now, got, nil)
		r.nodes[0].Tick(r.now, nil)
	})
}

// sentBytes runs one node among n members for a minute of injected time, with changes a second, and returns what it sends a second.
func sentBytes(tb testing.TB, n int, changes float64) (bytes, packets float64) {
	tb.Helper()
	r := newRing(1)
	node := r.nodes[0]
	for i := 1; i < n; i++ {
		node.MergeMembers(r.now, []Member{member(i)}, nil)
	}
	node.rumors = nil
	total, count, due := 0, 0, 0.0
	const seconds = 60
	for tick := range seconds * int(time.Second/TickPeriod) {
		r.now = r.now.Add(TickPeriod)
		due += changes * TickPeriod.Seconds()
		for ; due >= 1; due-- {
			m := member(1 + tick%(n-1))
			m.Version = uint64(tick + 2)
			node.MergeMembers(r.now, []Member{m}, nil)
		}
		for _, a := range node.Tick(r.now, nil) {
			if a.Kind != ActionSend {
				continue
			}
			b, err := a.Packet.Encode([]byte("the first shared key"))
			if err != nil {
				tb.Fatal(err)
			}
			if len(b) > MaxPacketBytes+authBytes {
				tb.Fatalf("packet of %d bytes", len(b))
			}
			total, count = total+len(b), count+1
			if a.Packet.Kind == Ping {
				node.Receive(r.now, ackOf(a, r.now), nil)
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

func TestNodeKeepsItsBudget(t *testing.T) {
	const targetBytes = 4096
	for _, n := range []int{9, 300, 3100} {
		if bytes, _ := sentBytes(t, n, 20); bytes > targetBytes {
			t.Errorf("%d members with 20 changes a second: %.0f bytes/s", n, bytes)
		}
	}
}

// BenchmarkNode measures a node among up to 3,100 members: bytes/s at the target's rate of changes, time for a packet, time for a tick, memory for a member.
func BenchmarkNode(b *testing.B) {
	const restartsPerDay, changesPerRestart, day = 17270, 3, 86400
	for _, n := range []int{9, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("members-%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := newRing(1)
			node := r.nodes[0]
			for i := 1; i < n; i++ {
				node.MergeMembers(r.now, []Member{member(i)}, nil)
			}
			node.rumors = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			p := &Packet{Kind: Ping, From: member(1).Name, Incarnation: 2, Members: []Member{member(1), member(2), member(3)}}
			key := [][]byte{[]byte("the first shared key")}
			b.ResetTimer()
			for i := range b.N {
				p.Stamp.Wall = int64(i + 1)
				wire, _ := p.Encode(key[0])
				got, _ := Decode(key, wire)
				node.Receive(r.now, got, nil)
			}
			b.StopTimer()
			start := time.Now()
			const ticks = 200
			for range ticks {
				r.now = r.now.Add(TickPeriod)
				node.Tick(r.now, nil)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/ticks, "ns/tick")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/member")
			bytes, packets := sentBytes(b, n, restartsPerDay*changesPerRestart/float64(day)*float64(n)/3100)
			b.ReportMetric(bytes, "sent-bytes/s")
			b.ReportMetric(packets, "sent-packets/s")
		})
	}
}
