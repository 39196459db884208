// Package recorder keeps the typed events of one process in a bounded ring, stamps them with a hybrid logical clock,
// and merges the rings of all processes into one time line.
package recorder
