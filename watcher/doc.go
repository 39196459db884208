// Package watcher keeps a VM's configuration up to date from the platform. A VM that serves routes uses a Follower,
// which reads the platform's key-value store. Any other VM uses a Watcher, which reads the platform's configuration
// service and its list of VMs, which lags behind the real state.
package watcher
