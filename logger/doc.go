// Package logger writes structured logs at a limited rate and never blocks the caller.
package logger
