// Package orderer runs orders (non-idempotent requests) at most once: on the incarnation that their ticket names or on
// its successor, or not at all.
package orderer
