// Package scatterer runs the queries of one VM: it feeds the state machine of each query with what the connections bring, and does what it decides.
package scatterer
