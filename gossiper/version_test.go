package gossiper

import (
	"testing"

	"github.com/pistachiogap/pistachiogap/ticketer"
)

// Guards against a VM that stays unknown because it started again with an earlier time of day, and so a lower version.
func TestRestartWithALowerVersionIsKnown(t *testing.T) {
	for _, state := range []State{Alive, Suspect, Dead, Left} {
		t.Run(state.String(), func(t *testing.T) {
			c := newCluster(5)
			before := member(1)
			before.Version, before.State = 1_000_000, state
			for _, n := range append(c.nodes[:1:1], c.nodes[2:]...) {
				c.deliver(n.MergeMembers(c.now, []Member{before}, nil))
			}
			again := member(1)
			again.Version, again.Incarnation = 500, ticketer.Incarnation(99)
			started := NewNode(again, c.nodes[1].clock, c.nodes[1].random)
			c.nodes[1] = started
			c.deliver(c.nodes[0].MergeMembers(c.now, []Member{started.Self()}, nil))
			c.deliver(started.MergeMembers(c.now, c.nodes[0].Differing(started.Digests()), nil))
			for range 50 {
				c.now = c.now.Add(TickPeriod)
				for _, n := range c.nodes {
					c.deliver(n.Tick(c.now, nil))
				}
			}
			for i, n := range c.nodes {
				if p := n.peers[again.Name]; i != 1 && (p == nil || p.State != Alive || p.Incarnation != again.Incarnation) {
					t.Errorf("5 s after the restart, node %d knows of the VM: %+v", i, p)
				}
			}
		})
	}
}
