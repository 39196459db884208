// Package flooder plays clients that keep to no limit against a VM that runs as a process of its own: endless heads and
// bodies, requests that stop short of their end, answers that nobody reads, connections that stay silent. It checks that
// the process lives within the memory and the descriptors of its settings, and that ordinary callers are answered.
package flooder
