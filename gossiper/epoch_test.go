package gossiper

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against VMs that don't pull a later epoch because its revision is lower, or take an earlier one for confirmed.
func TestEpochsOfPeers(t *testing.T) {
	own := modeler.Position{Epoch: 2, Revision: 360}
	tests := []struct {
		name            string
		head            modeler.Position
		version         uint64
		pull, confirmed bool
	}{
		{"later epoch, lower revision", modeler.Position{Epoch: 3, Revision: 7}, 8, true, false},
		{"later revision", modeler.Position{Epoch: 2, Revision: 361}, 8, true, false},
		{"same", own, 8, false, true},
		{"same, a later version that the store has lost", own, 9, true, true},
		{"earlier revision", modeler.Position{Epoch: 2, Revision: 359}, 8, false, true},
		{"earlier epoch, higher revision", modeler.Position{Epoch: 1, Revision: 374}, 8, false, false},
		{"a VM that knows no epochs", modeler.Position{Revision: 374}, 0, false, false},
	}
	for _, tt := range tests {
		c := newCluster(2)
		c.deliver(c.nodes[1].SetHead(c.now, own, 8, nil))
		from := c.nodes[0].Self()
		out := c.nodes[1].Receive(c.now, &Packet{
			Kind: Rumor, From: from.Name, Incarnation: from.Incarnation, Members: []Member{from}, Head: tt.head, Version: tt.version, Confirmed: true, ConfirmAge: time.Second,
			Stamp: c.nodes[0].clock.Now(),
		}, nil)
		pulled := false
		for _, a := range out {
			pulled = pulled || a.Kind == ActionPull
		}
		if confirmed := !c.nodes[1].ConfirmedAt().IsZero(); pulled != tt.pull || confirmed != tt.confirmed {
			t.Errorf("%s: pulled %v, confirmed %v; want %v, %v", tt.name, pulled, confirmed, tt.pull, tt.confirmed)
		}
	}
}

// Guards against pulls that repeat for ever because a VM does not count the version that it has pulled at the same head.
func TestPullsEndOnceTheVersionIsHeld(t *testing.T) {
	own := modeler.Position{Epoch: 2, Revision: 360}
	c := newCluster(2)
	c.deliver(c.nodes[1].SetHead(c.now, own, 7, nil))
	from := c.nodes[0].Self()
	pulls := func() (n int) {
		c.now = c.now.Add(RumorPeriod)
		for _, a := range c.nodes[1].Receive(c.now, &Packet{
			Kind: Rumor, From: from.Name, Incarnation: from.Incarnation, Members: []Member{from}, Head: own, Version: 8, Stamp: c.nodes[0].clock.Now(),
		}, nil) {
			if a.Kind == ActionPull {
				n++
			}
		}
		return n
	}
	if n := pulls(); n != 1 {
		t.Errorf("%d pulls of the later version, want 1", n)
	}
	c.deliver(c.nodes[1].SetHead(c.now, own, 8, nil))
	if n := pulls(); n != 0 {
		t.Errorf("%d pulls of the version that is held, want 0", n)
	}
}
