package configurer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
)

// Limits on the reads of the platform's configuration service and of its store. A fleet that serves routes reads
// the store, any other fleet the configuration service. A watch is a read that the platform answers at the next change,
// or when its own limit for a watch has passed.
const (
	ReadersPerDomain = 2   // VMs of a failure domain that hold a watch on the configuration service
	StoreReaders     = 3   // VMs of the fleet that read the platform's store
	MaxStoreReaders  = 24  // of these while the configuration is not confirmed
	FleetPollRate    = 100 // reads per second by the whole fleet
	MinPollPeriod    = 2 * time.Second
	MaxBackoff       = 3 * time.Second

	// A configuration that was not confirmed for ConfirmLimit is read by twice as many VMs, and by twice as many again after
	// each further ConfirmStep: the readers may all have lost the store.
	ConfirmLimit = 1800 * time.Millisecond
	ConfirmStep  = 300 * time.Millisecond
)

// IsReader reports whether a VM holds one of the watches of its failure domain on the configuration service,
// given the live VMs in the domain.
func IsReader(self modeler.VMName, domain modeler.FailureDomain, alive []modeler.VMName) bool {
	return slices.Contains(planner.Rank("configuration/"+string(domain), alive, ReadersPerDomain), self)
}

// IsStoreReader reports whether a VM is one of those that read the platform's store, given the VMs that can, and for how
// long the VM's configuration was not confirmed.
func IsStoreReader(self modeler.VMName, candidates []modeler.VMName, unconfirmed time.Duration) bool {
	return slices.Contains(planner.Rank("store", candidates, storeReaders(unconfirmed)), self)
}

// storeReaders returns how many VMs read the platform's store if the configuration was not confirmed for so long.
func storeReaders(unconfirmed time.Duration) int {
	n := StoreReaders
	for limit := ConfirmLimit; unconfirmed >= limit && n < MaxStoreReaders; limit += ConfirmStep {
		n *= 2
	}
	return min(n, MaxStoreReaders)
}

// PollPeriod returns the time between two reads of a VM without a watch, in a fleet of the given size.
// It keeps the whole fleet at or below FleetPollRate.
func PollPeriod(vms int) time.Duration {
	return max(MinPollPeriod, time.Duration(vms)*time.Second/FleetPollRate)
}

// Backoff returns the wait after n failed reads in a row.
// The random fraction, from 0 to 1, spreads the waits so that the VMs of a fleet do not retry at the same time.
func Backoff(n int, fraction float64) time.Duration {
	limit := min(MaxBackoff, 100*time.Millisecond<<min(n, 5))
	return limit/2 + time.Duration(fraction*float64(limit)/2)
}
