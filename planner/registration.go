package planner

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// byService groups the registrations of searchers by their service.
func byService(values []modeler.Configuration) map[modeler.ServiceName][]modeler.Registration {
	m := map[modeler.ServiceName][]modeler.Registration{}
	for _, c := range values {
		for _, r := range c.Registrations {
			m[r.Service] = append(m[r.Service], r)
		}
	}
	return m
}

// withRegistered adds the registered searchers to a service; of two at one address the later start counts.
func withRegistered(s modeler.Service, registered map[modeler.ServiceName][]modeler.Registration) modeler.Service {
	at := map[string]int{}
	for _, r := range registered[s.Name] {
		key := r.Searcher.Address.String()
		if i, ok := at[key]; ok {
			if r.Searcher.Born.After(s.Searchers[i].Born) {
				s.Searchers[i] = r.Searcher
			}
			continue
		}
		at[key] = len(s.Searchers)
		s.Searchers = append(s.Searchers, r.Searcher)
		s.Contract.Slots = max(1, r.Slots)
	}
	return s
}

// applyRegistrations puts into the view what searchers say of themselves beside their address.
func (v *View) applyRegistrations(registered []modeler.Registration) {
	for _, r := range registered {
		n, ok := v.At(r.Searcher.Address)
		if !ok || v.Searchers[n].Name != r.Searcher.Name {
			continue
		}
		s := &v.Searchers[n]
		s.Until = r.Until
		if r.Cold > 0 {
			s.Health.Warming(r.Seen.Add(r.Cold))
		}
	}
}

// LinksFrom returns the one-way delays that are assumed from a failure domain, given the region of each.
func LinksFrom(domain modeler.FailureDomain, regions map[modeler.FailureDomain]string) []modeler.Link {
	var links []modeler.Link
	for d, region := range regions {
		delay := FarDelay
		switch {
		case d == domain:
			continue
		case region == regions[domain]:
			delay = NearDelay
		}
		links = append(links, modeler.Link{From: domain, To: d, Delay: modeler.Duration{Duration: delay}})
	}
	return links
}

// Delays that are assumed of links without a figure of their own.
const (
	NearDelay = time.Millisecond
	FarDelay  = 20 * time.Millisecond
)
