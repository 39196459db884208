// Package caller is a client of the tier: it searches, sends orders with tickets and reads the pages for operators.
package caller
