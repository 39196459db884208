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
		v.handleQuarantineNews(n, now)
	case gossiper.NewsSuspect:
		v.recordToldCrash(n, now)
	case gossiper.NewsGood:
		klog.InfoS("request: told that it was answered", "fingerprint", n.Fingerprint)
		v.quarantine.ToldGood(observer.Fingerprint(n.Fingerprint), now, n.Until.Add(-observer.KnownGoodPeriod))
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

// handleQuarantineNews quarantines a request that another VM has found to crash searchers. If this VM knows it to be good,
// the news counts as a crash only; the next answer to the request here ends the quarantine on the other VMs.
func (v *VM) handleQuarantineNews(n gossiper.News, now time.Time) {
	f := observer.Fingerprint(n.Fingerprint)
	if v.quarantine.AnsweredLately(f, now) {
		v.recordToldCrash(n, now)
		return
	}
	if v.quarantine.Add(f, now, n.Until) {
		v.recorder.Record(recorder.Event{Kind: recorder.RequestQuarantined, Detail: "told by a peer"})
	}
}

// recordToldCrash records a crash that another VM saw, and quarantines its request if all crashes that are known suffice.
func (v *VM) recordToldCrash(n gossiper.News, now time.Time) {
	f := observer.Fingerprint(n.Fingerprint)
	at := n.Until.Add(-observer.QuarantinePeriod)
	if at.After(now) {
		at = now // the other VM's time of day may be ahead
	}
	suffices := v.quarantine.RecordCrashes(f, now, observer.ToldCrash(n.Address, at))
	klog.InfoS("request: told that it was lost with a searcher that crashed", "fingerprint", n.Fingerprint, "address", n.Address.String(), "suffices", suffices)
	if !suffices {
		return
	}
	if until, isNew := v.quarantine.Find(f, now); isNew {
		v.announceQuarantine(f, until)
	}
}

// announceQuarantine announces a request that is quarantined because it seems to crash searchers. Package scatterer
// infers crashes from connections that were lost before an answer came. For a request on a route it also checks that
// the searchers now refuse connections. For a search that lost several searchers it asks control searchers.
func (v *VM) announceQuarantine(f observer.Fingerprint, until time.Time) {
	klog.Warningf("search: request %016x crashes searchers and is quarantined", uint64(f))
	v.broadcast(gossiper.News{Kind: gossiper.NewsQuarantine, Fingerprint: uint64(f), Until: until})
}

// announceCrash announces a searcher that crashed while it ran a request on a route. Suspect searches are not announced.
func (v *VM) announceCrash(f observer.Fingerprint, c observer.Crash) {
	v.broadcast(gossiper.News{Kind: gossiper.NewsSuspect, Fingerprint: uint64(f), Address: c.Searcher, Until: c.At.Add(observer.QuarantinePeriod)})
}

// announceGood announces a suspect or quarantined request that was answered.
func (v *VM) announceGood(f observer.Fingerprint, at time.Time) {
	klog.InfoS("request: suspect one was answered", "fingerprint", uint64(f))
	v.broadcast(gossiper.News{Kind: gossiper.NewsGood, Fingerprint: uint64(f), Until: at.Add(observer.KnownGoodPeriod)})
}

// broadcast spreads news to the other VMs.
func (v *VM) broadcast(n gossiper.News) {
	if v.mechanisms.BroadcastNews {
		v.gossip.Broadcast(n)
	}
}

// announceSlow announces until the given time that a searcher's answers take much longer than usual for its service.
func (v *VM) announceSlow(s *planner.Searcher, until time.Time) {
	klog.InfoS("upstream: searcher is slow", "searcher", string(s.Name), "address", s.Address.String(), "expected-ms", s.Health.CurrentState(time.Now()).Latency.Milliseconds())
	v.counter("searchers.found-slow").Inc(1)
	v.broadcast(gossiper.News{Kind: gossiper.NewsSlow, Address: s.Address, Until: until})
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
	v.broadcast(gossiper.News{Kind: gossiper.NewsDraining, Address: a, Until: time.Now().Add(DrainingNewsTTL)})
}
