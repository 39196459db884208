package gossiper

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The load: one VM finds news in a fleet whose VMs all know each other. It has to reach every VM within the time in which a leaving searcher must get no more work, and each VM may repeat it no more often than an epidemic needs.
func TestNewsReachesEveryVMWithFewRepeats(t *testing.T) {
	const (
		seeds  = 10
		within = 2 * time.Second
	)
	for _, n := range []int{8, 70} {
		mostRepeats := float64(n) * math.Max(MinRepeats, math.Ceil(2*math.Log(float64(n)+2)))
		for seed := range uint64(seeds) {
			r := newRing(n)
			random := rand.New(rand.NewPCG(seed, 7))
			for _, x := range r.nodes {
				x.random = random.IntN
			}
			r.run(30 * time.Second)
			told := 0
			r.sent = func(p *Packet) { told += len(p.News) }
			r.carry(r.nodes[0].Tell(r.now, News{Kind: NewsQuarantine, Subject: 7, Until: r.now.Add(time.Hour)}, nil))
			r.run(within)
			for i, x := range r.nodes {
				if len(x.NewsList()) != 1 {
					t.Errorf("%d VMs, seed %d: VM %d has not heard the news after %s", n, seed, i, within)
				}
			}
			r.run(20 * time.Second)
			if float64(told) > mostRepeats {
				t.Errorf("%d VMs, seed %d: the news was sent %d times, at most %.0f are needed", n, seed, told, mostRepeats)
			}
		}
	}
}
