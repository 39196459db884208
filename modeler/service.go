package modeler

import (
	"net/netip"
	"time"
)

// Contract is what each searcher of a service allows its callers.
type Contract struct {
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	SetUp       Duration `json:"set-up"`
}

// Searcher is one upstream process that holds the shards of its service.
type Searcher struct {
	Name          SearcherName   `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain FailureDomain  `json:"failure-domain"`
	Born          time.Time      `json:"-"`
}

// Service is a group of searchers that are replicas of each other.
type Service struct {
	Name      ServiceName `json:"name"`
	Team      TeamName    `json:"team"`
	Orders    bool        `json:"orders,omitempty"`
	Contract  Contract    `json:"contract"`
	Searchers []Searcher  `json:"searchers"`
}

// Link is the one-way delay between two failure domains.
type Link struct {
	From  FailureDomain `json:"from"`
	To    FailureDomain `json:"to"`
	Delay Duration      `json:"delay"`
}

// VM is one machine on the platform's lagging list.
type VM struct {
	Name          VMName         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain FailureDomain  `json:"failure-domain"`
	Leaving       bool           `json:"leaving,omitempty"`
}

// Listing is the platform's lagging list of VMs and of leaving searchers.
type Listing struct {
	VMs     []VM             `json:"vms"`
	Leaving []netip.AddrPort `json:"leaving-searchers,omitempty"`
}

func (s Service) check(p *Problems, path ...any) {
	p.Name(string(s.Name), append(path, "name")...)
	p.Name(string(s.Team), append(path, "team")...)
	if s.Contract.Slots < 1 {
		p.Add("must be at least 1", append(path, "contract", "slots")...)
	}
	if s.Contract.Connections < 1 {
		p.Add("must be at least 1", append(path, "contract", "connections")...)
	}
	if s.Contract.SetUp.Duration > time.Second {
		p.Add("must be at most 1s", append(path, "contract", "set-up")...)
	}
	seen := map[netip.AddrPort]bool{}
	for i, r := range s.Searchers {
		at := append(append([]any{}, path...), "searchers", i)
		p.Name(string(r.Name), append(at, "name")...)
		p.Name(string(r.FailureDomain), append(at, "failure-domain")...)
		if !r.Address.IsValid() || r.Address.Port() == 0 {
			p.Add("is not an address with a port", append(at, "address")...)
		}
		if seen[r.Address] {
			p.Add("is the address of two searchers", append(at, "address")...)
		}
		seen[r.Address] = true
	}
}
