// Package prover holds the scenarios that prove the promises of the tier against real processes and stand-ins; all of it is tests.
package prover
