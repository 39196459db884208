package runner

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// storeLosses records which VMs announced that they cannot read the store of the users' platform, by their peer
// addresses.
type storeLosses struct {
	mu        sync.Mutex
	lostUntil map[netip.AddrPort]time.Time
}

// record marks a VM as unable to read the store for StoreLostPeriod, and reports whether it was not marked before.
func (l *storeLosses) record(a netip.AddrPort, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostUntil == nil {
		l.lostUntil = map[netip.AddrPort]time.Time{}
	}
	for vm, until := range l.lostUntil {
		if !now.Before(until) {
			delete(l.lostUntil, vm)
		}
	}
	_, marked := l.lostUntil[a]
	l.lostUntil[a] = now.Add(StoreLostPeriod)
	return !marked
}

// storeCandidates returns the VMs that are alive and can read the platform's store, or all VMs that are alive if none
// can read it, or if the configuration was not confirmed for ConfirmLimit: then those that lost the store try it again too,
// because nobody may be reading it.
func (l *storeLosses) storeCandidates(members []gossiper.Member, now time.Time, unconfirmed time.Duration) []modeler.VMName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates, alive []modeler.VMName
	for _, m := range members {
		if m.State != gossiper.Alive {
			continue
		}
		alive = append(alive, m.Name)
		if !now.Before(l.lostUntil[m.Address]) {
			candidates = append(candidates, m.Name)
		}
	}
	if len(candidates) == 0 || unconfirmed >= configurer.ConfirmLimit {
		return alive
	}
	return candidates
}

// isStoreReader reports whether this VM reads the platform's store for the fleet. It does if it ranks among the first
// of the candidates, of which more read the longer the configuration is unconfirmed; if it receives nothing from other
// VMs, or its configuration is unconfirmed beside VMs that know no epochs; or if it has no configuration yet.
func (v *VM) isStoreReader() bool {
	now := time.Now()
	isolated, besideEpochless, confirmedAt := false, false, v.startedAt
	v.gossip.Inspect(func(n *gossiper.Node) {
		isolated = n.Isolated(now)
		besideEpochless = n.BesideEpochless(now)
		confirmedAt = later(confirmedAt, n.ConfirmedAt())
	})
	if isolated || v.store.Head().IsZero() {
		return true
	}
	if v.cfg.Routing.FirstStart && !v.isSeed() && time.Since(v.startedAt) < LearnPeriod {
		return false // not all members are known yet, so too many VMs would rank themselves as readers
	}
	unconfirmed := now.Sub(confirmedAt)
	if besideEpochless && unconfirmed >= configurer.ConfirmLimit {
		return true // the readers by rank may be among those
	}
	candidates := v.storeLosses.storeCandidates(v.membership.Load().members, now, unconfirmed)
	return configurer.IsStoreReader(v.cfg.Name, candidates, unconfirmed)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// announceStoreLoss announces that this VM cannot read the store, so that another VM reads in its place. The news is
// valid for twice StoreLostPeriod. Each VM counts the loss for StoreLostPeriod from when the news arrives.
func (v *VM) announceStoreLoss() {
	if !v.storeLosses.record(v.cfg.Advertise, time.Now()) {
		return
	}
	v.gossip.Broadcast(gossiper.News{Kind: gossiper.NewsStoreLost, Address: v.cfg.Advertise, Until: time.Now().Add(2 * StoreLostPeriod)})
}
