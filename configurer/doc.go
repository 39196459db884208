// Package configurer decides which configuration is in force. Values are ordered by the platform's revision.
// A refused value leaves the last accepted value in force, and no value is replaced by one of an older revision.
package configurer
