// Package loader sends open-loop load to a deployment and measures latency from the intended start, coverage and extra load.
package loader
