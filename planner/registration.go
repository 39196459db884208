package planner

import (
	"net/netip"
	"slices"
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

// addRegistered returns the service with its registered searchers added, also those that have the same address: only the
// one that answers by its name is sent requests for long. The contract's slots are the lower median of what they register.
func addRegistered(s modeler.Service, registered map[modeler.ServiceName][]modeler.Registration) modeler.Service {
	var slots []int
	for _, r := range registered[s.Name] {
		s.Searchers = append(s.Searchers, r.Searcher)
		slots = append(slots, r.Slots)
	}
	if len(slots) > 0 {
		slices.Sort(slots)
		s.Contract.Slots = max(1, slots[(len(slots)-1)/2])
	}
	return s
}

// knows returns a function that reports whether the view has a searcher, or a registration names it whose service the view
// lacks. A searcher without a name is known by its address.
func (v *View) knows(values []modeler.Configuration) func(a netip.AddrPort, name modeler.SearcherName) bool {
	type key struct {
		address netip.AddrPort
		name    modeler.SearcherName
	}
	others := map[key]bool{}
	for _, c := range values {
		for _, r := range c.Registrations {
			if _, ok := v.services[r.Service]; !ok {
				others[key{r.Searcher.Address, r.Searcher.Name}] = true
			}
		}
	}
	return func(a netip.AddrPort, name modeler.SearcherName) bool {
		if name == "" {
			return len(v.addresses[a]) > 0
		}
		return v.Find(a, name) != nil || others[key{a, name}]
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
