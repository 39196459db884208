// Package gatherer is the state machine of one query that is scattered over shards: it decides what is sent, hedged,
// retried, merged and answered. It has no clock and does no I/O, so that tests and replays can drive it event by event.
package gatherer
