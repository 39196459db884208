// Package limiter holds the budgets of the tier: hedges, retries, connections and admission per team.
package limiter
