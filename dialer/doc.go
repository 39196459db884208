// Package dialer keeps the connections of a VM to searchers within their budgets, exchanges requests and answers
// on them, rejects answers with a malformed head, reads large answers in turn, and closes connections on which a searcher
// stays silent.
package dialer
