package gossiper

import (
	"math"
	"math/rand/v2"
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
