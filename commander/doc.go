// Package commander holds the commands of the one program.
package commander
