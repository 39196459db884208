package gossiper

import "time"

// Confirm records that the configuration that this VM holds was complete at the given time: it had every change that the
// platform's store had accepted until then. The news is spread, at most once in ConfirmStep.
func (n *Node) Confirm(now, at time.Time, out []Action) []Action {
	if !at.After(n.confirmedAt) {
		return out
	}
	n.confirmedAt = at
	if at.Sub(n.toldAt) < ConfirmStep {
		return out
	}
	n.toldAt = at
	for _, m := range n.randomMembers(ConfirmFanOut, "") {
		out = n.send(now, m, &Packet{Kind: Rumor}, out)
	}
	return out
}

// ConfirmedAt returns the latest time at which the configuration that this VM holds is known to have been complete; zero
// if there is none.
func (n *Node) ConfirmedAt() time.Time { return n.confirmedAt }

// BesideEpochless reports whether VMs that know no epochs, whose heads and confirmations say nothing to this VM, have sent
// packets within EpochlessPeriod.
func (n *Node) BesideEpochless(now time.Time) bool {
	return !n.epochless.IsZero() && now.Sub(n.epochless) < EpochlessPeriod
}

// Confirm records that the configuration that this VM holds was complete at the given time; see Node.Confirm.
func (g *Gossip) Confirm(at time.Time) {
	g.Do(func(n *Node, now time.Time, out []Action) []Action { return n.Confirm(now, at, out) })
}

// ConfirmedAt returns the time of Node.ConfirmedAt.
func (g *Gossip) ConfirmedAt() time.Time {
	var at time.Time
	g.Inspect(func(n *Node) { at = n.ConfirmedAt() })
	return at
}
