// Package scatterer runs queries on the searchers of their shards. For each query it feeds the state machine of package
// gatherer with the results of the attempts and carries out the actions that the state machine returns.
//
// There are two kinds of request. A search is written in the tier's own format, and the hits of its shards are merged. A
// request on a route (Request.Forward is set) passes the caller's message on to the searchers and returns their answers
// undecoded. Its route limits how often it may run and whether a second run is allowed at all.
package scatterer
