package runner

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// handleNews acts on news that another VM announced.
func (v *VM) handleNews(n gossiper.News) {
	now := time.Now()
	switch n.Kind {
	case gossiper.NewsQuarantine:
		if v.quarantine.Add(observer.Fingerprint(n.Fingerprint), now, n.Until) {
			v.recorder.Record(recorder.Event{Kind: recorder.RequestQuarantined, Detail: "told by a peer"})
		}
	case gossiper.NewsSuspect:
		again := v.quarantine.RecordLoss(observer.Fingerprint(n.Fingerprint), now)
		klog.InfoS("request: told that it was lost with a searcher", "fingerprint", n.Fingerprint, "suspect-before", again)
		if again {
			v.quarantine.Add(observer.Fingerprint(n.Fingerprint), now, n.Until)
		}
	case gossiper.NewsStoreLost:
		v.storeLosses.record(n.Address, now)
	case gossiper.NewsSlow:
		v.counter("searchers.told-slow").Inc(1)
		for _, s := range v.observer.At(n.Address) {
			s.ReportSlow(now, n.Until, rand.Float64())
		}
	case gossiper.NewsDraining:
		if v.markDraining(now, n.Address, n.Until.Add(-DrainingNewsTTL)) {
			v.recorder.Record(recorder.Event{Kind: recorder.SearcherDraining, Detail: "told by a peer: " + n.Address.String()})
		}
	}
}

// markDraining records that the searcher which was at the address at the given time drains, and reports whether this is
// new. News may come when another searcher has the address.
func (v *VM) markDraining(now time.Time, a netip.AddrPort, at time.Time) bool {
	isNew := false
	for _, s := range v.observer.AtBefore(a, at) {
		isNew = s.MarkDraining(now) || isNew
	}
	return isNew
}

// announceQuarantine announces a request that is quarantined because it seems to crash searchers. Package scatterer
// infers crashes from connections that were lost before an answer came. For a request on a route it also checks that
// the searchers now refuse connections. For a search that lost several searchers it asks control searchers.
func (v *VM) announceQuarantine(f observer.Fingerprint, until time.Time) {
	klog.Warningf("search: request %016x crashes searchers and is quarantined", uint64(f))
	if v.mechanisms.BroadcastNews {
		v.gossip.Broadcast(gossiper.News{Kind: gossiper.NewsQuarantine, Fingerprint: uint64(f), Until: until})
	}
}

// announceSuspect announces a request on a route that seems to have crashed one searcher: the connection that carried it
// was lost before an answer came, and the searcher then refused connections. If a VM that knows of this sees it happen
// again within observer.QuarantinePeriod, the request is quarantined. Suspect searches are not announced.
func (v *VM) announceSuspect(f observer.Fingerprint, until time.Time) {
	klog.InfoS("search: request crashed a searcher", "fingerprint", uint64(f))
	if v.mechanisms.BroadcastNews {
		v.gossip.Broadcast(gossiper.News{Kind: gossiper.NewsSuspect, Fingerprint: uint64(f), Until: until})
	}
}

// announceSlow announces until the given time that a searcher's answers take much longer than usual for its service.
func (v *VM) announceSlow(s *planner.Searcher, until time.Time) {
	klog.InfoS("upstream: searcher is slow", "searcher", string(s.Name), "address", s.Address.String(), "expected-ms", s.Health.CurrentState(time.Now()).Latency.Milliseconds())
	v.counter("searchers.found-slow").Inc(1)
	if v.mechanisms.BroadcastNews {
		v.gossip.Broadcast(gossiper.News{Kind: gossiper.NewsSlow, Address: s.Address, Until: until})
	}
}

// announceDrainingInBand announces a searcher that reported in an answer to a request that it is draining.
func (v *VM) announceDrainingInBand(s *planner.Searcher) {
	v.counter("searchers.drains-in-band").Inc(1)
	v.announceDraining(s.Address, "in band")
	if v.cfg.Routing != nil {
		v.exclusions.add(s, "leaves")
	}
}

// announceDraining records and announces that a searcher is draining; source says how this VM learned of it.
func (v *VM) announceDraining(a netip.AddrPort, source string) {
	klog.Infof("upstream: searcher %s is draining (source: %s)", a, source)
	v.recorder.Record(recorder.Event{Kind: recorder.SearcherDraining, Detail: source + ": " + a.String()})
	if v.mechanisms.BroadcastNews {
		v.gossip.Broadcast(gossiper.News{Kind: gossiper.NewsDraining, Address: a, Until: time.Now().Add(DrainingNewsTTL)})
	}
}
