package runner

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// readers remembers which VMs said that they cannot read the platform's store.
type readers struct {
	mu    sync.Mutex
	until map[netip.AddrPort]time.Time
}

// lost records that a VM cannot read the store, and reports whether that was not known.
func (r *readers) lost(a netip.AddrPort, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = map[netip.AddrPort]time.Time{}
	}
	for old, t := range r.until {
		if !now.Before(t) {
			delete(r.until, old)
		}
	}
	_, known := r.until[a]
	r.until[a] = now.Add(StoreLostPeriod)
	return !known
}

// able returns the VMs that are alive and can read the store, or all that are alive if none can.
func (r *readers) able(members []gossiper.Member, now time.Time) []modeler.VMName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var able, alive []modeler.VMName
	for _, m := range members {
		if m.State != gossiper.Alive {
			continue
		}
		alive = append(alive, m.Name)
		if !now.Before(r.until[m.Address]) {
			able = append(able, m.Name)
		}
	}
	if len(able) == 0 {
		return alive
	}
	return able
}

// readsStore reports whether this VM reads the platform's store for the fleet: it is one of the first by rank among those that can, or it hears of no other VM.
func (v *VM) readsStore() bool {
	now := time.Now()
	alone := false
	v.gossip.Look(func(n *gossiper.Node) { alone = n.Alone(now) })
	if alone || v.store.Head() == 0 {
		return true
	}
	if v.cfg.Routing.FirstStart && !v.isSeed() && time.Since(v.started) < LearnPeriod {
		return false // the members are not all known: too many VMs would take themselves for readers
	}
	return configurer.IsStoreReader(v.cfg.Name, v.readers.able(v.membership.Load().live, now))
}

// tellStoreLost lets other VMs read in place of this one.
func (v *VM) tellStoreLost() {
	if !v.readers.lost(v.cfg.Advertise, time.Now()) {
		return
	}
	v.gossip.Tell(gossiper.News{Kind: gossiper.NewsStoreLost, Address: v.cfg.Advertise, Until: time.Now().Add(2 * StoreLostPeriod)})
}
