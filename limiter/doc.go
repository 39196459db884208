// Package limiter bounds the load of one VM: its extra sends (hedges, probes and retries), its connections to each
// searcher, its requests to a searcher that states a limit, and the requests that it admits. Admission bounds the requests
// of all teams together, and guarantees each team a share. Budgets bound the extra sends of searches. Windows bound those
// of routes, by an Allowance for the whole fleet. An Intake bounds the connections of callers and what they hold together.
package limiter
