// Package observer holds what one VM knows of each searcher and service (load, latency, draining, ejection,
// snapshots held) and the requests that are quarantined.
package observer
