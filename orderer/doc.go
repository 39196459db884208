// Package orderer has orders (non-idempotent requests) run at most once. A searcher runs the order; only one
// incarnation of a VM may send it there: the one that the order's ticket names or its successor. Otherwise the order
// does not run at all.
package orderer
