// Package ticketer issues and records the tickets of non-idempotent requests: only one process incarnation may run
// a ticket, at most once.
package ticketer
