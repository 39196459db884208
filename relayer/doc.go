// Package relayer carries the calls between the VMs of the tier: relayed sub-queries, forwarded orders, configuration
// and membership.
package relayer
