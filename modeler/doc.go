// Package modeler holds the data model of the tier and of what it serves: VMs, failure domains, links, contracts,
// services, searchers, indexes, snapshots and routes, with the checks of their values.
package modeler
