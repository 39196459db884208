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

// membership is what hot paths read of the members.
type membership struct {
	alive  int
	live   []gossiper.Member
	domain []modeler.VMName
	relays []gossiper.Member
}

// refreshMembership is serialized, so that a later membership is never replaced by an earlier one.
func (v *VM) refreshMembership() {
	v.membershipMu.Lock()
	defer v.membershipMu.Unlock()
	c := &membership{}
	for _, m := range v.gossip.Members() {
		if m.State > gossiper.Suspect {
			continue
		}
		c.alive++
		c.live = append(c.live, m)
		if m.Domain == v.cfg.FailureDomain {
			c.domain = append(c.domain, m.Name)
		}
		if m.Relay && m.State == gossiper.Alive {
			c.relays = append(c.relays, m)
		}
	}
	v.membership.Store(c)
	v.shares.outdate()
	v.spread.SetMembers(c.relays)
}

// fleet returns how many VMs may be running: those listed or those alive, whichever are more.
func (v *VM) fleet() int {
	listed := 0
	if l := v.listing.Load(); l != nil {
		listed = len(l.VMs)
	}
	return max(1, listed, v.membership.Load().alive)
}

func (v *VM) isReader() bool {
	return configurer.IsReader(v.cfg.Name, v.cfg.FailureDomain, v.membership.Load().domain)
}

// join asks the seeds for the members, the news and the configuration before the VM serves.
func (v *VM) join(ctx context.Context) {
	if v.cfg.Routing != nil {
		v.joinRouting(ctx)
		return
	}
	if l, err := v.platform.Listing(ctx); err == nil {
		v.listed(l)
	}
	for _, a := range v.syncSome(ctx, JoinPeers) {
		v.pullFrom(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
	defer cancel()
	if err := v.watcher.Refresh(ctx, false); err != nil {
		klog.Warningf("vm: the platform's configuration cannot be read: %v", err)
	}
}

// syncSome compares members with up to n VMs that answer, and returns their addresses.
func (v *VM) syncSome(ctx context.Context, n int) []netip.AddrPort {
	var answered []netip.AddrPort
	for _, a := range v.seeds() {
		if len(answered) == n || ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, JoinTimeout)
		if v.syncWith(call, a) == nil {
			answered = append(answered, a)
		}
		cancel()
	}
	return answered
}

// seeds returns the addresses at which other VMs may answer, in random order.
func (v *VM) seeds() []netip.AddrPort {
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

// synchronize compares members with one random VM now and then, listed or believed dead ones too, so that a healed partition is found; often while many are missing.
func (v *VM) synchronize(ctx context.Context) error {
	for ctx.Err() == nil {
		period := gossiper.SyncPeriod
		if fleet := v.fleet(); (fleet-v.membership.Load().alive)*MissingShare >= fleet {
			period = gossiper.Period
		}
		if v.membership.Load().alive <= 1 {
			period = LonelyPeriod
		}
		spawner.Sleep(ctx, period/2+rand.N(period/2))
		seeds := v.seeds()
		if len(seeds) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, JoinTimeout)
		_ = v.syncWith(call, seeds[0])
		cancel()
	}
	return ctx.Err()
}

func (v *VM) syncWith(ctx context.Context, a netip.AddrPort) error {
	req := &messenger.SyncRequest{}
	v.gossip.Look(func(n *gossiper.Node) {
		req.Digests = n.Digests()
		req.Members = append(req.Members, n.Self().ToWire())
	})
	res, err := v.relays.Peer(a).Sync(ctx, req)
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
	v.gossip.MergeHeirs(gossiper.HeirsFromWire(res.GetHeirs()))
	v.gossip.MergeNews(gossiper.NewsFromWire(res.GetNews()))
	return nil
}

func (v *VM) memberChanged(m gossiper.Member) {
	kinds := map[gossiper.State]recorder.EventKind{
		gossiper.Alive: recorder.MemberAlive, gossiper.Suspect: recorder.MemberSuspect,
		gossiper.Dead: recorder.MemberDead, gossiper.Left: recorder.MemberLeft,
	}
	v.recorder.Record(recorder.Event{Kind: kinds[m.State], Detail: string(m.Name)})
	klog.InfoS("member: changed", "member", string(m.Name), "state", m.State.String(), "incarnation", uint64(m.Incarnation), "version", m.Version)
	if m.State >= gossiper.Dead {
		v.relays.Forget(m.Address)
	}
	v.refreshMembership()
	if v.cfg.Routing == nil {
		v.dialer.Rebudget()
	}
}
