// Package replayer drives the decisions of a query from its recorded time line and compares what they come to with a stated outcome.
package replayer
