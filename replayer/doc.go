// Package replayer feeds the recorded events of a query to the gatherer again and returns the outcome. A trace also
// holds the expected outcome, with which the replay command and the tests compare it.
package replayer
