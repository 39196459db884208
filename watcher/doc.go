// Package watcher reads the platform: the values of the configuration service, its watch, and the lagging list of VMs.
package watcher
