// Package refuser holds the closed list of error kinds and the table from kind to answer.
package refuser
