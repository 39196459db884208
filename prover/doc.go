// Package prover consists of tests: scenarios that check the tier's guarantees on real VMs, which are separate processes or
// run within the test, with stand-ins for everything outside the tier.
package prover
