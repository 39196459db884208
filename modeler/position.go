package modeler

import (
	"cmp"
	"strconv"
)

// Revision is the number that the platform gives to each change of a stored value; a later change in the same epoch has a
// greater one.
type Revision uint64

// Epoch is how often the platform's store has come back from an older copy of itself, which loses the latest changes and
// gives their revisions out again.
type Epoch uint64

// Position is the place of a change among all changes of the platform: by epoch, then by revision.
type Position struct {
	Epoch    Epoch    `json:"epoch"`
	Revision Revision `json:"revision"`
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether p is before all changes.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the epoch and the revision, separated by a colon.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Epoch), 10) + ":" + strconv.FormatUint(uint64(p.Revision), 10)
}
