// Package flooder tests a VM, a process of its own, with clients that exceed the limits or stop in the middle of a
// request: endless heads and bodies, answers that nobody reads, connections that stay silent. It checks that the process
// lives within the memory and the descriptors of its settings, and that ordinary callers are answered.
package flooder
