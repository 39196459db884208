// Package spawner starts goroutines that report their error on a channel, turns panics into errors, and sleeps no longer
// than a context allows.
package spawner
