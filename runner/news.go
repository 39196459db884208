package runner

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/gossiper"
	"github.com/pistachiogap/pistachiogap/observer"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/recorder"
)

// heardNews acts on what another VM found.
func (v *VM) heardNews(n gossiper.News) {
	now := time.Now()
	switch n.Kind {
	case gossiper.NewsQuarantine:
		if v.quarantine.Add(observer.Fingerprint(n.Subject), now, n.Until) {
			v.recorder.Record(recorder.Event{Kind: recorder.RequestQuarantined, Detail: "told by a peer"})
		}
	case gossiper.NewsSuspect:
		if v.quarantine.Suspect(observer.Fingerprint(n.Subject), now) {
			v.quarantine.Add(observer.Fingerprint(n.Subject), now, n.Until)
		}
	case gossiper.NewsStoreLost:
		v.readers.lost(n.Address, now)
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

// foundSuspect tells the others of a request that crashed one searcher, so that a second crash anywhere quarantines it.
func (v *VM) foundSuspect(f observer.Fingerprint, until time.Time) {
	klog.InfoS("search: request crashed a searcher", "fingerprint", uint64(f))
	if v.mechanisms.TellNews {
		v.gossip.Tell(gossiper.News{Kind: gossiper.NewsSuspect, Subject: uint64(f), Until: until})
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
