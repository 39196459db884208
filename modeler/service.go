package modeler

import (
	"net/netip"
	"time"
)

// Contract holds the limits that each searcher of a service publishes: how many requests it runs at once,
// how many connections it accepts, and how long the set-up of a connection takes.
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
	StartedAt     time.Time      `json:"-"` // when the process started; zero if unknown
}

// Service is a group of searchers that are replicas of each other.
// If Orders is set, its requests are orders (non-idempotent), which run at most once.
type Service struct {
	Name      ServiceName `json:"name"`
	Team      TeamName    `json:"team"`
	Orders    bool        `json:"orders,omitempty"`
	Contract  Contract    `json:"contract"`
	Searchers []Searcher  `json:"searchers"`
}

// Link holds the one-way network delay between two failure domains.
type Link struct {
	From  FailureDomain `json:"from"`
	To    FailureDomain `json:"to"`
	Delay Duration      `json:"delay"`
}

// VM is one VM on the platform's list.
type VM struct {
	Name          VMName         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain FailureDomain  `json:"failure-domain"`
	Leaving       bool           `json:"leaving,omitempty"`
}

// Listing is the platform's list of VMs and of leaving searchers. It lags behind the actual state.
type Listing struct {
	VMs     []VM             `json:"vms"`
	Leaving []netip.AddrPort `json:"leaving-searchers,omitempty"`
}

func (s Service) check(p *Problems, path ...any) {
	p.CheckName(string(s.Name), append(path, "name")...)
	p.CheckName(string(s.Team), append(path, "team")...)
	if s.Contract.Slots < 1 {
		p.Add("must be at least 1", append(path, "contract", "slots")...)
	}
	if s.Contract.Connections < 1 {
		p.Add("must be at least 1", append(path, "contract", "connections")...)
	}
	if s.Contract.SetUp.Duration > time.Second {
		p.Add("must be at most 1s", append(path, "contract", "set-up")...)
	}
	addresses := map[netip.AddrPort]bool{}
	for i, searcher := range s.Searchers {
		itemPath := append(append([]any{}, path...), "searchers", i)
		p.CheckName(string(searcher.Name), append(itemPath, "name")...)
		p.CheckName(string(searcher.FailureDomain), append(itemPath, "failure-domain")...)
		if !searcher.Address.IsValid() || searcher.Address.Port() == 0 {
			p.Add("is not an address with a port", append(itemPath, "address")...)
		}
		if addresses[searcher.Address] {
			p.Add("is the address of two searchers", append(itemPath, "address")...)
		}
		addresses[searcher.Address] = true
	}
}
