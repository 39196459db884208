// Package configurer decides which configuration is in force. Values are ordered by the platform's revision.
// A refused value leaves the last accepted value in force, and no value is replaced by one of an older revision.
// An ignored value, which the tier does not use, is accepted and replaces the previous one, but is reported as a Refusal.
package configurer
