package runner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/orderer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/refuser"
	"github.com/pistachiogap/pistachiogap/relayer"
	"github.com/pistachiogap/pistachiogap/ticketer"
)

// Bounds of what a VM asks of its neighbours.
const (
	JoinTimeout    = time.Second
	JoinPeers      = 3
	PullTimeout    = 2 * time.Second
	AdoptTimeout   = 2 * time.Second
	HandoverWait   = 10 * time.Millisecond
	DrainingPeriod = time.Minute
	LeaveLinger    = 700 * time.Millisecond
	ConnectAttempt = 300 * time.Millisecond
)

// crowd is the part of the membership that hot paths read.
type crowd struct {
	alive  int
	domain []modeler.VMName
	relays []gossiper.Member
}

func (v *VM) refreshCrowd() {
	c := &crowd{}
	for _, m := range v.gossip.Members() {
		if m.State > gossiper.Suspect {
			continue
		}
		c.alive++
		if m.Domain == v.cfg.FailureDomain {
			c.domain = append(c.domain, m.Name)
		}
		if m.Relay && m.State == gossiper.Alive {
			c.relays = append(c.relays, m)
		}
	}
	v.crowd.Store(c)
	v.spread.SetMembers(c.relays)
}

// fleet returns how many VMs may be running: those listed or those alive, whichever are more.
func (v *VM) fleet() int {
	listed := 0
	if l := v.listing.Load(); l != nil {
		listed = len(l.VMs)
	}
	return max(1, listed, v.crowd.Load().alive)
}

func (v *VM) isReader() bool {
	return configurer.IsReader(v.cfg.Name, v.cfg.FailureDomain, v.crowd.Load().domain)
}

// join asks the seeds for the members, the news and the configuration before the VM serves.
func (v *VM) join(ctx context.Context) {
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
	for _, a := range v.cfg.Peers {
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

// synchronize compares members with one random VM now and then, listed or believed dead ones too, so that a healed partition is found.
func (v *VM) synchronize(ctx context.Context) error {
	for ctx.Err() == nil {
		period := gossiper.SyncPeriod
		if v.fleet() > v.crowd.Load().alive {
			period = gossiper.Period
		}
		pause(ctx, period/2+rand.N(period/2))
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

func (v *VM) askPull(m gossiper.Member) {
	select {
	case v.pulls <- m:
	default:
	}
}

// pull fetches configuration from the peers that announce a later one, and all that may have been missed after a pause.
func (v *VM) pull(ctx context.Context) error {
	for {
		select {
		case m := <-v.pulls:
			v.pullFrom(ctx, m.Address)
		case paused := <-v.woken:
			v.recorder.Record(recorder.Event{Kind: recorder.ProcessWoke, Detail: paused.String()})
			for _, a := range v.seeds()[:min(2, len(v.seeds()))] {
				v.pullFrom(ctx, a)
			}
			_ = v.watcher.Refresh(ctx, false)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (v *VM) pullFrom(ctx context.Context, a netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	res, err := v.relays.Peer(a).Pull(ctx, &messenger.PullRequest{Since: uint64(v.store.Head())})
	if err != nil {
		return
	}
	values := make([]configurer.Value, 0, len(res.GetValues()))
	for _, w := range res.GetValues() {
		values = append(values, configurer.Value{Key: w.GetKey(), Revision: modeler.Revision(w.GetRevision()), Text: w.GetText()})
	}
	v.configured(v.store.Offer(time.Now(), modeler.Revision(res.GetHead()), values))
}

// configured puts a changed configuration in force and tells the others of its revision.
func (v *VM) configured(refused []configurer.Refusal, changed bool) {
	for _, r := range refused {
		klog.Warningf("configuration: key %s at revision %d is refused: %s", r.Key, r.Revision, r.Reason)
		v.recorder.Record(recorder.Event{Kind: recorder.ConfigurationRefused, Detail: r.Key + ": " + r.Reason})
	}
	old := v.view.Load()
	rev, values := v.store.InForce()
	if changed || old == nil {
		view := planner.NewView(rev, v.cfg.FailureDomain, v.cfg.Links, values, v.observer)
		v.view.Store(view)
		v.admitter.SetShares(view.Teams)
		v.recorder.Record(recorder.Event{Kind: recorder.ConfigurationAccepted, Detail: revisionText(rev)})
	}
	v.gossip.SetHead(rev)
}

func (v *VM) memberChanged(m gossiper.Member) {
	kinds := map[gossiper.State]recorder.EventKind{
		gossiper.Alive: recorder.MemberAlive, gossiper.Suspect: recorder.MemberSuspect,
		gossiper.Dead: recorder.MemberDead, gossiper.Left: recorder.MemberLeft,
	}
	v.recorder.Record(recorder.Event{Kind: kinds[m.State], Detail: string(m.Name)})
	if m.State >= gossiper.Dead {
		v.relays.Forget(m.Address)
	}
	v.refreshCrowd()
}

func (v *VM) woke(paused time.Duration) {
	select {
	case v.woken <- paused:
	default:
	}
}

// heardNews acts on what another VM found.
func (v *VM) heardNews(n gossiper.News) {
	now := time.Now()
	switch n.Kind {
	case gossiper.NewsQuarantine:
		if v.quarantine.Add(observer.Fingerprint(n.Subject), now, n.Until) {
			v.recorder.Record(recorder.Event{Kind: recorder.RequestQuarantined, Detail: "told by a peer"})
		}
	case gossiper.NewsDraining:
		if v.observer.Searcher(n.Address).Drain(now) {
			v.recorder.Record(recorder.Event{Kind: recorder.SearcherDraining, Detail: "told by a peer: " + n.Address.String()})
		}
	}
}

func (v *VM) foundPoison(f observer.Fingerprint, until time.Time) {
	klog.Warningf("search: request %016x crashes searchers and is quarantined", uint64(f))
	if v.mechanisms.TellNews {
		v.gossip.Tell(gossiper.News{Kind: gossiper.NewsQuarantine, Subject: uint64(f), Until: until})
	}
}

func (v *VM) foundDraining(s *planner.Searcher) { v.tellDraining(s.Address, "in band") }

func (v *VM) tellDraining(a netip.AddrPort, source string) {
	klog.Infof("upstream: searcher %s is leaving (%s)", a, source)
	v.recorder.Record(recorder.Event{Kind: recorder.SearcherDraining, Detail: source + ": " + a.String()})
	if v.mechanisms.TellNews {
		v.gossip.Tell(gossiper.News{Kind: gossiper.NewsDraining, Address: a, Until: time.Now().Add(DrainingPeriod)})
	}
}

// forward carries a submission to the VM that answers for an incarnation; without one the outcome is unknown for good.
func (v *VM) forward(ctx context.Context, home ticketer.Incarnation, s orderer.Submission) ticketer.Outcome {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	asked := false
	for ctx.Err() == nil {
		m, ok := v.gossip.Find(home)
		if !ok && !asked {
			asked = true
			v.syncSome(ctx, JoinPeers)
			continue
		}
		if !ok {
			return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket is gone"}
		}
		if m.Incarnation == v.incarnation {
			if v.home.Owns(home) {
				return v.orderer.Local(ctx, s)
			}
			pause(ctx, HandoverWait)
			continue
		}
		res, err := v.relays.Peer(m.Address).Order(ctx, &messenger.OrderRequest{
			Service: string(s.Service), Ticket: s.Ticket, Body: s.Body, DeadlineMicros: time.Until(s.Deadline).Microseconds(),
		})
		if err == nil {
			return relayer.Outcome(res)
		}
		pause(ctx, HandoverWait)
	}
	return ticketer.Outcome{Kind: refuser.OutcomeUnknown, Detail: "the VM that answers for the ticket does not answer"}
}

// leave hands the tickets over to a live VM and then tells the others who answers for them.
func (v *VM) leave(ctx context.Context) {
	h, ok := v.home.Close()
	for deadline := time.Now().Add(v.cfg.Grace.Duration); !ok && time.Now().Before(deadline); h, ok = v.home.Close() {
		pause(ctx, HandoverWait)
	}
	var heirs []gossiper.Heir
	if ok && v.mechanisms.Handover {
		heirs = v.handOver(ctx, h)
	}
	v.gossip.Leave(heirs)
	pause(ctx, LeaveLinger)
}

func (v *VM) handOver(ctx context.Context, h ticketer.Handover) []gossiper.Heir {
	until := time.Now().Add(ticketer.BeginWithin + ticketer.ResendWindow)
	for _, m := range v.heirCandidates() {
		call, cancel := context.WithTimeout(ctx, AdoptTimeout)
		res, err := v.relays.Peer(m.Address).Adopt(call, relayer.HandoverToWire(h))
		cancel()
		if err != nil || res.GetHeir() == 0 {
			continue
		}
		heir := ticketer.Incarnation(res.GetHeir())
		v.recorder.Record(recorder.Event{Kind: recorder.TicketsHandedOver, Detail: string(m.Name)})
		return []gossiper.Heir{{From: h.From, To: heir, Until: until}}
	}
	return nil
}

// heirCandidates returns live members, those of the own failure domain first.
func (v *VM) heirCandidates() []gossiper.Member {
	var near, far []gossiper.Member
	for _, m := range v.gossip.Members() {
		switch {
		case m.State != gossiper.Alive || m.Name == v.cfg.Name:
		case m.Domain == v.cfg.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return slices.Concat(near, far)
}
