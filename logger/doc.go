// Package logger writes structured logs at a bounded rate without ever blocking the caller.
package logger
