package runner

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// requestPull makes runPulls pull from a member. It drops the request if another one waits for runPulls.
func (v *VM) requestPull(m gossiper.Member) {
	select {
	case v.pullRequests <- m:
	default:
	}
}

// runPulls pulls configuration from peers that announce a later revision, as requestPull passes them on. After a pause
// of the process it pulls from up to two peers, because changes may have been missed meanwhile. Without routing it also
// reads the platform.
func (v *VM) runPulls(ctx context.Context) error {
	for {
		select {
		case m := <-v.pullRequests:
			v.pullFrom(ctx, m.Address)
		case pause := <-v.pauses:
			v.recorder.Record(recorder.Event{Kind: recorder.ProcessResumed, Detail: pause.String()})
			for _, a := range v.peerAddresses()[:min(2, len(v.peerAddresses()))] {
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
	delta, err := v.relayClient.Pull(ctx, a, v.store.Head())
	if err != nil {
		return
	}
	v.applyOffer(v.store.Apply(time.Now(), delta), a.String())
}

// sourcePlatform is the source of a configuration that this VM has read from the platform, not from another VM.
const sourcePlatform = "platform"

// applyRead applies the result of an offer of values that this VM has read from the platform.
func (v *VM) applyRead(res configurer.Result) { v.applyOffer(res, sourcePlatform) }

// applyOffer takes the result of configurer.Store.Offer. It logs the refusals, puts a changed configuration in force,
// and announces its position and version to the other VMs. The source is the address of the VM that had the values, or sourcePlatform.
func (v *VM) applyOffer(res configurer.Result, source string) {
	for _, r := range res.Refused {
		klog.Warningf("configuration: refused key %s at epoch %d, revision %d: %s", r.Key, r.Epoch, r.Revision, r.Reason)
		v.recorder.Record(recorder.Event{Kind: recorder.ConfigurationRefused, Detail: r.Key + ": " + r.Reason})
	}
	if res.NewEpoch() {
		v.counter("configuration.epochs").Inc(1)
		klog.InfoS("configuration: new epoch", "before", res.Before.String(), "after", res.After.String(), "added", res.Added,
			"replaced", res.Replaced, "removed", res.Removed, "refused", len(res.Refused), "source", source)
	}
	v.gossip.SetHead(v.updateView(res.Changed(), source))
}

// handlePause passes a pause of the process to runPulls, unless another pause is already pending.
func (v *VM) handlePause(pause time.Duration) {
	select {
	case v.pauses <- pause:
	default:
	}
}

// updateView builds the view of the accepted values if they changed or there is no view yet, and returns their
// position and version. Builds are serialized, so that an earlier view never replaces a later one.
func (v *VM) updateView(changed bool, source string) (head modeler.Position, version uint64) {
	v.viewMu.Lock()
	defer v.viewMu.Unlock()
	head, values := v.store.InForce()
	if view := v.view.Load(); !changed && view != nil {
		return head, view.Version
	}
	v.beforeViewBuild()
	view := planner.NewView(head, v.cfg.FailureDomain, v.cfg.Links, values, v.observer)
	v.view.Store(view)
	v.shares.reset()
	v.admitter.SetShares(view.Teams)
	v.recorder.Record(recorder.Event{Kind: recorder.ConfigurationAccepted, Detail: revisionText(head)})
	klog.InfoS("configuration: in force", "epoch", uint64(head.Epoch), "revision", uint64(head.Revision), "version", view.Version, "services", len(view.Services), "searchers", len(view.Searchers), "source", source)
	return head, view.Version
}
