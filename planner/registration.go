package planner

import (
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// registrationsByService groups the registrations of searchers by their service.
func registrationsByService(values []modeler.Configuration) map[modeler.ServiceName][]modeler.Registration {
	m := map[modeler.ServiceName][]modeler.Registration{}
	for _, c := range values {
		for _, r := range c.Registrations {
			m[r.Service] = append(m[r.Service], r)
		}
	}
	return m
}

// addRegistered returns the service with its registered searchers added. If two of them have the same address, the one
// that started later is kept. The contract's slots are those of the last searcher added, at least 1.
func addRegistered(s modeler.Service, registered map[modeler.ServiceName][]modeler.Registration) modeler.Service {
	positions := map[string]int{} // position in s.Searchers, by address
	for _, r := range registered[s.Name] {
		address := r.Searcher.Address.String()
		if i, ok := positions[address]; ok {
			if r.Searcher.StartedAt.After(s.Searchers[i].StartedAt) {
				s.Searchers[i] = r.Searcher
			}
			continue
		}
		positions[address] = len(s.Searchers)
		s.Searchers = append(s.Searchers, r.Searcher)
		s.Contract.Slots = max(1, r.Slots)
	}
	return s
}

// applyRegistrations sets in the Health of the registered searchers until when one that leaves may be sent requests, and
// until when one that has just started is slow. It skips a registration whose address is unknown or belongs to another searcher.
func (v *View) applyRegistrations(registered []modeler.Registration) {
	for _, r := range registered {
		n, ok := v.SearcherAt(r.Searcher.Address)
		if !ok || v.Searchers[n].Name != r.Searcher.Name {
			continue
		}
		s := &v.Searchers[n]
		s.Health.SetUsableUntil(r.UsableUntil)
		if r.WarmUp > 0 {
			s.Health.SetSlowUntil(r.ReceivedAt.Add(r.WarmUp))
		}
	}
}

// LinksFrom returns links with assumed one-way delays from a failure domain to all others, given the region of each
// domain.
func LinksFrom(domain modeler.FailureDomain, regions map[modeler.FailureDomain]string) []modeler.Link {
	var links []modeler.Link
	for d, region := range regions {
		delay := OtherRegionDelay
		switch {
		case d == domain:
			continue
		case region == regions[domain]:
			delay = SameRegionDelay
		}
		links = append(links, modeler.Link{From: domain, To: d, Delay: modeler.Duration{Duration: delay}})
	}
	return links
}

// One-way delays that LinksFrom assumes, from one failure domain to another.
const (
	SameRegionDelay  = time.Millisecond
	OtherRegionDelay = 20 * time.Millisecond
)
