// Package auditor checks the logs of all VMs of a fleet against the bound on extra attempts. A VM bounds only its own
// attempts, so only the logs together show how close the fleet came to the bound, which VMs sent the extra attempts and
// why.
package auditor
