// Package faker holds small stand-ins for what lies outside the tier: searchers, the platform, the balancer, callers and links; it records every run of every request.
package faker
