// Package soaker runs the program as separate processes against stand-ins of the users' platform, and injects faults
// from outside, chosen by a seed. It checks the tier's guarantees by what callers and searchers observe.
package soaker
