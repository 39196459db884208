// Package faker provides stand-ins for the systems around the tier: searchers, the platform, the balancer, callers and
// the network links between VMs. The stand-in searchers record every run of every request, so that a test can compare
// the answers with what ran. The commands of the scenario scripts (Verbs) put VMs, injected faults and traffic together.
//
// The platform here is that of the tier's native interface: configurations under /v1/keys and a list of VMs. Package
// platform/imitator stands in for the outer platform: the users' platform, whose store, searchers and callers have other
// formats, which package platform translates.
package faker
