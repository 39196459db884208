// Package ticketer holds the tickets of non-idempotent requests: one process incarnation may run a ticket, at most once.
package ticketer
