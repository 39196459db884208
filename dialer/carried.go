package dialer

import (
	"slices"

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

// carriedIDs holds the ids that a connection has carried last. That is enough: a second copy of an answer comes where the
// next answer is due.
type carriedIDs struct {
	ids  [maxCarriedIDs]answerID
	next int // where the next id is put
}

// add records that the connection carries the id.
func (c *carriedIDs) add(id answerID) {
	c.ids[c.next] = id
	c.next = (c.next + 1) % maxCarriedIDs
}

// contains reports whether the id is among those that the connection has carried last.
func (c *carriedIDs) contains(id answerID) bool { return id != 0 && slices.Contains(c.ids[:], id) }
