// Package stand holds the stand-ins that the scripts of the review share: VMs as separate processes, searchers on raw
// TCP, callers, and the record of what was sent, answered and run.
package stand
