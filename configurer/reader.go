package configurer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// Bounds of the reads of the platform's configuration service.
const (
	ReadersPerDomain = 2
	StoreReaders     = 3
	FleetPollRate    = 100
	MinPollPeriod    = 2 * time.Second
	MaxBackoff       = 3 * time.Second
)

// IsReader reports whether a VM holds the watch for its failure domain, given the VMs alive in it.
func IsReader(self modeler.VMName, domain modeler.FailureDomain, alive []modeler.VMName) bool {
	return slices.Contains(planner.Rank("configuration/"+string(domain), alive, ReadersPerDomain), self)
}

// IsStoreReader reports whether a VM is one of the StoreReaders of the fleet, given the VMs that can read the store.
func IsStoreReader(self modeler.VMName, able []modeler.VMName) bool {
	return slices.Contains(planner.Rank("store", able, StoreReaders), self)
}

// PollPeriod returns how often a VM that holds no watch reads, so that the fleet reads FleetPollRate times a second at the most.
func PollPeriod(vms int) time.Duration {
	return max(MinPollPeriod, time.Duration(vms)*time.Second/FleetPollRate)
}

// Backoff returns the wait after n failed reads in a row, spread by the random fraction so that a fleet does not return at once.
func Backoff(n int, fraction float64) time.Duration {
	limit := min(MaxBackoff, 100*time.Millisecond<<min(n, 5))
	return limit/2 + time.Duration(fraction*float64(limit)/2)
}
