// Package scatterer runs queries on the searchers of their shards. For each query it feeds the state machine of package
// gatherer with the results of the attempts and carries out the actions that the state machine returns.
package scatterer
