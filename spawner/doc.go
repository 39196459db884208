// Package spawner starts goroutines that end with a context and report their end on a channel.
package spawner
