// Package limiter bounds the load of one VM: its extra sends (hedges, probes and retries), its connections to each
// searcher, and the requests of each team that it admits. Budgets bound the extra sends of searches. Windows bound those
// of routes, by an Allowance for the whole fleet.
package limiter
