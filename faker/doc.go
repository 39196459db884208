// Package faker provides stand-ins for the systems around the tier: searchers, the platform, the balancer, callers and
// the network links between VMs. The stand-in searchers record every run of every request, so that a test can compare
// the answers with what ran. The commands of the scenario scripts (Verbs) put VMs, faults and traffic together.
package faker
