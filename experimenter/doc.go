// Package experimenter measures policies against each other on stand-ins of a deployment, under load and faults.
package experimenter
