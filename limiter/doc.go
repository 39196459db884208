// Package limiter holds the budgets of the tier: hedges, retries, connections to searchers, and the admission of each
// team's requests.
package limiter
