package runner

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// membership is a snapshot of the live members, those that are alive or suspect. Hot paths read it without a lock.
type membership struct {
	liveCount int
	// recent also holds members that died or left within gossiper.DeadRetention. A dead one may only be cut off.
	recent    []gossiper.Member
	members   []gossiper.Member // including this VM
	domainVMs []modeler.VMName  // members in this VM's failure domain
	relays    []gossiper.Member // alive members that relay
}

// newMembership returns the snapshot of the members as seen from a VM in the failure domain.
func newMembership(all []gossiper.Member, domain modeler.FailureDomain) *membership {
	out := &membership{recent: all}
	for _, m := range all {
		if m.State > gossiper.Suspect {
			continue
		}
		out.liveCount++
		out.members = append(out.members, m)
		if m.Domain == domain {
			out.domainVMs = append(out.domainVMs, m.Name)
		}
		if m.Relay && m.State == gossiper.Alive {
			out.relays = append(out.relays, m)
		}
	}
	return out
}

// refreshMembership replaces the snapshot of the members. Calls are serialized, so that an earlier snapshot never
// replaces a later one.
func (v *VM) refreshMembership() {
	v.membershipMu.Lock()
	defer v.membershipMu.Unlock()
	next := newMembership(v.gossip.Members(), v.cfg.FailureDomain)
	v.membership.Store(next)
	v.shares.markStale()
	v.spreader.SetMembers(next.relays)
}

// fleetSize returns how many VMs may be running: the number of listed VMs or of live members, whichever is higher.
func (v *VM) fleetSize() int {
	listed := 0
	if l := v.listing.Load(); l != nil {
		listed = len(l.VMs)
	}
	return max(1, listed, v.membership.Load().liveCount)
}

func (v *VM) isReader() bool {
	return configurer.IsReader(v.cfg.Name, v.cfg.FailureDomain, v.membership.Load().domainVMs)
}

// join fetches the members, the news and the configuration from other VMs and the platform before the VM serves. A VM
// that serves routes calls joinRouting instead.
func (v *VM) join(ctx context.Context) {
	if v.cfg.Routing != nil {
		v.joinRouting(ctx)
		return
	}
	if l, err := v.platformClient.Listing(ctx); err == nil {
		v.handleListing(l)
	}
	for _, a := range v.syncWithPeers(ctx, MaxJoinPeers) {
		v.pullFrom(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
	defer cancel()
	if err := v.watcher.Refresh(ctx, false); err != nil {
		klog.Warningf("vm: failed to read the platform's configuration at the start: %v", err)
	}
}

// syncWithPeers exchanges members with other VMs until n of them have answered, and returns their addresses.
func (v *VM) syncWithPeers(ctx context.Context, n int) []netip.AddrPort {
	var answered []netip.AddrPort
	for _, a := range v.peerAddresses() {
		if len(answered) == n || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, JoinTimeout)
		if v.syncWith(callCtx, a) == nil {
			answered = append(answered, a)
		}
		cancel()
	}
	return answered
}

// peerAddresses returns the addresses of other VMs from the settings, the platform's list and gossip, in random order.
// Those from gossip include members that this VM counts as dead, but none that left. The settings and the
// platform's list may still hold the address of a member that left.
func (v *VM) peerAddresses() []netip.AddrPort {
	seen := map[netip.AddrPort]bool{v.cfg.Advertise: true}
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, a := range *v.peerSeeds.Load() {
		add(a)
	}
	if l := v.listing.Load(); l != nil {
		for _, m := range l.VMs {
			add(m.Address)
		}
	}
	for _, m := range v.gossip.Members() {
		if m.State != gossiper.Left {
			add(m.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// runSync periodically exchanges members with one random VM. That VM may be one that only the platform lists, or a
// member counted as dead, so that the VMs find each other again after a partition has healed. The period is shorter
// while many VMs are missing.
func (v *VM) runSync(ctx context.Context) error {
	for ctx.Err() == nil {
		period := gossiper.SyncPeriod
		if fleet := v.fleetSize(); (fleet-v.membership.Load().liveCount)*MissingDivisor >= fleet {
			period = gossiper.Period
		}
		if v.membership.Load().liveCount <= 1 {
			period = IsolatedSyncPeriod
		}
		spawner.Sleep(ctx, period/2+rand.N(period/2))
		addresses := v.peerAddresses()
		if len(addresses) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, JoinTimeout)
		_ = v.syncWith(callCtx, addresses[0])
		cancel()
	}
	return ctx.Err()
}

// syncWith sends the digests of the members to a VM, and merges the members, successors and news in its answer.
func (v *VM) syncWith(ctx context.Context, a netip.AddrPort) error {
	req := &messenger.SyncRequest{}
	v.gossip.Inspect(func(n *gossiper.Node) {
		req.Digests = n.Digests()
		req.Members = append(req.Members, n.Self().ToWire())
	})
	res, err := v.relayClient.Peer(a).Sync(ctx, req)
	if err != nil {
		return err
	}
	members := make([]gossiper.Member, 0, len(res.GetMembers()))
	for _, w := range res.GetMembers() {
		if m, err := gossiper.MemberFromWire(w); err == nil {
			members = append(members, m)
		}
	}
	v.gossip.MergeMembers(members)
	v.gossip.MergeSuccessors(gossiper.SuccessorsFromWire(res.GetSuccessors()))
	v.gossip.MergeNews(gossiper.NewsFromWire(res.GetNews()))
	return nil
}

func (v *VM) handleMemberChange(m gossiper.Member) {
	kinds := map[gossiper.State]recorder.EventKind{
		gossiper.Alive: recorder.MemberAlive, gossiper.Suspect: recorder.MemberSuspect,
		gossiper.Dead: recorder.MemberDead, gossiper.Left: recorder.MemberLeft,
	}
	v.recorder.Record(recorder.Event{Kind: kinds[m.State], Detail: string(m.Name)})
	klog.InfoS("member: changed", "member", string(m.Name), "state", m.State.String(), "incarnation", uint64(m.Incarnation), "version", m.Version)
	if m.State >= gossiper.Dead {
		v.relayClient.Forget(m.Address)
	}
	v.refreshMembership()
	if v.cfg.Routing == nil {
		v.dialer.Rebudget()
	}
}
