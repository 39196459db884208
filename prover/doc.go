// Package prover consists of tests: scenarios that check the tier's guarantees on real VMs, with stand-ins for everything
// outside the tier. The VMs are separate processes or run within the test.
package prover
