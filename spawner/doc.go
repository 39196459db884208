// Package spawner starts goroutines that end with a context and report their end on a channel, and sleeps no longer than a context lives.
package spawner
