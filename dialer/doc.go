// Package dialer holds the connections to searchers within their budgets, speaks the searcher protocol on them and retires silent ones.
package dialer
