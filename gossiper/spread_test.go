package gossiper

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// One VM spreads news in a fleet whose VMs all know each other. The news must reach every VM within the time after
// which a draining searcher must get no more work. Each VM may send it only as often as an epidemic protocol needs.
func TestNewsReachesEveryVMWithFewRepeats(t *testing.T) {
	const (
		seeds = 10
		limit = 2 * time.Second
	)
	for _, n := range []int{8, 70} {
		maxSent := float64(n) * math.Max(MinTransmissions, math.Ceil(2*math.Log(float64(n)+2)))
		for seed := range uint64(seeds) {
			c := newCluster(n)
			random := rand.New(rand.NewPCG(seed, 7))
			for _, node := range c.nodes {
				node.random = random.IntN
			}
			c.run(30 * time.Second)
			sent := 0
			c.onSend = func(p *Packet) { sent += len(p.News) }
			c.deliver(c.nodes[0].Broadcast(c.now, News{Kind: NewsQuarantine, Fingerprint: 7, Until: c.now.Add(time.Hour)}, nil))
			c.run(limit)
			for i, node := range c.nodes {
				if len(node.NewsList()) != 1 {
					t.Errorf("%d VMs, seed %d: VM %d has not received the news after %s", n, seed, i, limit)
				}
			}
			c.run(20 * time.Second)
			if float64(sent) > maxSent {
				t.Errorf("%d VMs, seed %d: the news was sent %d times, want at most %.0f", n, seed, sent, maxSent)
			}
		}
	}
}

// Twenty searchers become slow at once and 70 VMs learn of it. The news must reach nearly every VM within a second, be
// sent only in one round by each VM, and be gone after MaxSlowValidity although its sender's time of day is an hour ahead.
func TestNewsOfSlowSearchersIsCheapAndAges(t *testing.T) {
	const (
		vms       = 70
		searchers = 20
	)
	c := newCluster(vms)
	random := rand.New(rand.NewPCG(1, 7))
	for _, node := range c.nodes {
		node.random = random.IntN
	}
	c.run(30 * time.Second)
	sent := 0
	c.onSend = func(p *Packet) { sent += len(p.News) }
	for i := range searchers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		c.deliver(c.nodes[i].Broadcast(c.now, News{Kind: NewsSlow, Address: a, Until: c.now.Add(time.Hour)}, nil))
	}
	c.run(time.Second)
	known := 0
	for _, node := range c.nodes {
		known += len(node.NewsList())
	}
	if share := float64(known) / (vms * searchers); share < 0.9 {
		t.Errorf("after a second %.3f of the VMs know of a slow searcher, want at least 0.9", share)
	}
	if most := vms * searchers * FanOut; sent > most {
		t.Errorf("the news was sent %d times, want at most %d", sent, most)
	}
	c.run(MaxSlowValidity + 2*Period)
	for i, node := range c.nodes {
		if n := len(node.NewsList()); i >= searchers && n > 0 {
			t.Errorf("VM %d still holds %d pieces of news", i, n)
		}
	}
}
