// Package modeler holds the objects of the world that the tier serves: VMs, failure domains, links, contracts, services, searchers, indexes and snapshots.
package modeler
