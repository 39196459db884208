// Package configurer decides which configuration is in force. Values are ordered by their position: by the
// epoch of the platform's store, then by revision. A refused value leaves the last accepted value in force, and no value is
// replaced by one of an earlier position. The first values of a later epoch are all that the store has then, and replace
// those of earlier epochs.
// An ignored value, which the tier does not use, is accepted and replaces the previous one, but is reported as a Refusal.
package configurer
