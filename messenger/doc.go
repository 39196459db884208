// Package messenger holds the generated messages and calls between the VMs of the tier.
package messenger
