// Package commander implements the commands of the program pistachiogap.
package commander
