package runner

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/messenger"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

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
			if v.cfg.Routing == nil {
				_ = v.watcher.Refresh(ctx, false)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (v *VM) pullFrom(ctx context.Context, a netip.AddrPort) {
	var err error
	defer spawner.Recover("pull", &err)
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
	rev := v.putInForce(changed)
	v.gossip.SetHead(rev)
}

func (v *VM) woke(paused time.Duration) {
	select {
	case v.woken <- paused:
	default:
	}
}

// putInForce builds the view of the values accepted by now; it is serialized, so that a later view is never replaced by an earlier one.
func (v *VM) putInForce(changed bool) modeler.Revision {
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	rev, values := v.store.InForce()
	if !changed && v.view.Load() != nil {
		return rev
	}
	v.building()
	view := planner.NewView(rev, v.cfg.FailureDomain, v.cfg.Links, values, v.observer)
	v.view.Store(view)
	v.shares.forget()
	v.admitter.SetShares(view.Teams)
	v.recorder.Record(recorder.Event{Kind: recorder.ConfigurationAccepted, Detail: revisionText(rev)})
	klog.InfoS("configuration: in force", "revision", uint64(rev), "services", len(view.Services), "searchers", len(view.Searchers))
	return rev
}
