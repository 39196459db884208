// Package dialer keeps the connections of a VM to searchers within their budgets, exchanges requests and answers
// on them, and closes connections on which a searcher stays silent.
package dialer
