package gossiper

import (
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// confirm makes readers find their configurations complete, one after the other, once in each period.
func (c *cluster) confirm(d, period time.Duration, readers ...int) {
	for i := 0; i < int(d/TickPeriod); i++ {
		for k, r := range readers {
			if offset := period * time.Duration(k) / time.Duration(len(readers)); (TickPeriod*time.Duration(i))%period == offset.Truncate(TickPeriod) {
				c.deliver(c.nodes[r].Confirm(c.now, c.now, nil))
			}
		}
		c.run(TickPeriod)
	}
}

// unconfirmed returns how many nodes were confirmed longer ago than the limit.
func (c *cluster) unconfirmed(limit time.Duration) int {
	n := 0
	for _, x := range c.nodes {
		if c.now.Sub(x.ConfirmedAt()) > limit {
			n++
		}
	}
	return n
}

// Guards against VMs that learn late that nobody reads the store for them: while readers confirm their configuration, nearly
// all VMs know it within ConfirmLimit of package configurer, and nobody knows of a later time than there was.
func TestConfirmationReachesTheFleet(t *testing.T) {
	for _, n := range []int{3, 9, 100} {
		c := newCluster(n)
		for _, x := range c.nodes {
			c.deliver(x.SetHead(c.now, modeler.Position{Revision: 7}, 0, nil))
		}
		late, checks := 0, 0
		c.confirm(3*time.Second, 1200*time.Millisecond, 0, 1, 2)
		for range 30 {
			c.confirm(300*time.Millisecond, 300*time.Millisecond, 0)
			late += c.unconfirmed(1800 * time.Millisecond)
			checks += n
		}
		if float64(late) > 0.02*float64(checks) {
			t.Errorf("%d VMs: %d of %d were confirmed more than 1.8 s ago, want at most 2 of 100", n, late, checks)
		}
		lastRead := c.now
		c.run(3 * time.Second)
		for _, x := range c.nodes {
			if x.ConfirmedAt().After(lastRead) {
				t.Errorf("%d VMs: one counts as confirmed at a time after the last read", n)
			}
		}
	}
}

// Guards against a VM that counts its configuration as complete because another one, which holds a later one, is.
func TestConfirmationOfALaterConfigurationIsNotTaken(t *testing.T) {
	c := newCluster(3)
	c.nodes[0].SetHead(c.now, modeler.Position{Revision: 8}, 0, nil)
	c.nodes[1].SetHead(c.now, modeler.Position{Revision: 7}, 0, nil)
	c.nodes[2].SetHead(c.now, modeler.Position{Revision: 8}, 0, nil)
	c.confirm(5*time.Second, time.Second, 0)
	if at := c.nodes[1].ConfirmedAt(); !at.IsZero() {
		t.Errorf("a VM with an earlier configuration counts as confirmed at %v", at)
	}
	if at := c.nodes[2].ConfirmedAt(); at.IsZero() {
		t.Error("a VM with the same configuration does not count as confirmed")
	}
}
