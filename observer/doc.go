// Package observer holds what one VM knows of each searcher and service: load, latency, draining, ejection, snapshots held, and quarantined requests.
package observer
