// Package watcher keeps a VM's configuration up to date from the platform. A VM that serves routes uses a Follower,
// which reads the platform's key-value store. Any other VM uses a Watcher, which reads the platform's configuration
// service and its list of VMs, which lags behind the real state.
//
// Readers are the VMs that watch: the platform answers a watch at the next change or after a time limit. Among VMs with
// a Watcher, the other VMs poll the configuration service. Among VMs with a Follower, the other VMs do not read the
// store: package runner pulls the configuration from VMs that announce a later revision.
package watcher
