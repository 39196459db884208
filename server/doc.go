// Package server answers callers and operators over HTTP. A VM with routing settings forwards its callers' requests
// on routes to searchers: a route (modeler.Route) says which requests go to which services, and how. Any other VM
// serves searches and orders in place of routes. A Guard watches over the connections of callers, which may send anything.
package server
