// Package replayer feeds the recorded events of a query to the gatherer again and compares the outcome with
// the expected one.
package replayer
