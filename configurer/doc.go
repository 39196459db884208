// Package configurer decides which configuration is in force: the platform's revision orders values, a refused value leaves the last accepted one, and nothing goes back.
package configurer
