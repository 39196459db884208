// Package relayer carries the calls between the VMs of the tier: relayed sub-queries, forwarded orders, configuration,
// membership, and the tickets that a leaving VM hands over.
package relayer
