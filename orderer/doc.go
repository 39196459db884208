// Package orderer runs non-idempotent requests at most once: on the incarnation that their ticket names, or nowhere.
package orderer
