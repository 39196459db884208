// Package experimenter compares policies under load and faults, on a deployment whose searchers and platform are
// stand-ins.
package experimenter
