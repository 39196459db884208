// Package loader sends open-loop load to a deployment. It measures latency from the intended start of each search,
// coverage and extra load.
package loader
