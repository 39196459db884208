package dialer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// answerID identifies the answers to a call among those on its connection. It is zero if each attempt has an id of its own.
type answerID uint64

// answerID returns the id by which answers to the call are known.
func (w *Wire) answerID(request modeler.RequestID) answerID {
	if !w.SharedID {
		return 0
	}
	return answerID(xxhash.Sum64String(string(request)))
}

// carriedIDs holds the ids that a connection has carried, each until the deadline of its request.
type carriedIDs struct{ entries []carriedID }

type carriedID struct {
	id    answerID
	until time.Time
}

// add records that the connection carries the id. It drops expired ids only when the list is full.
func (c *carriedIDs) add(id answerID, now, until time.Time) {
	if id == 0 {
		return
	}
	if len(c.entries) == cap(c.entries) {
		c.entries = slices.DeleteFunc(c.entries, func(e carriedID) bool { return !now.Before(e.until) })
	}
	c.entries = append(c.entries, carriedID{id, until})
}

// contains reports whether the connection has carried the id.
func (c *carriedIDs) contains(id answerID) bool {
	return id != 0 && slices.ContainsFunc(c.entries, func(e carriedID) bool { return e.id == id })
}
