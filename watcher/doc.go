// Package watcher reads the platform: the values of the configuration service, its watch, and the list of VMs,
// which lags behind the real state.
package watcher
