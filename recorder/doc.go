// Package recorder keeps the bounded ring of typed events of one process, stamps them by a hybrid logical clock, and merges the rings of all processes into one time line.
package recorder
