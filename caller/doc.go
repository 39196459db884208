// Package caller is a client of the tier: it searches, orders by ticket and reads what operators read.
package caller
