// Package gatherer decides, as a state machine without clock or I/O, what one scattered query sends, hedges, retries, merges and answers.
package gatherer
