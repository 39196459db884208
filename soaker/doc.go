// Package soaker runs the program as separate processes against stand-ins of the users' platform, injects faults from outside by seed, and checks the promises from what callers and searchers see.
package soaker
