// Package refuser holds the closed list of error kinds and the table that says what the tier answers for each of them.
package refuser
