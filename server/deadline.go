package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/planner"
	"github.com/pistachiogap/pistachiogap/refuser"
)

// timeBudget returns how long the caller waits for the answer, from HeaderDeadline, or the refusal of a request
// without a valid one.
func timeBudget(r *http.Request) (time.Duration, error) {
	s := r.Header.Get(HeaderDeadline)
	if s == "" {
		return 0, refuser.New(refuser.BadDeadline, "header %s is missing", HeaderDeadline)
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < modeler.MinDeadline.Milliseconds() || ms > modeler.MaxDeadline.Milliseconds() {
		return 0, refuser.New(refuser.BadDeadline, "header %s must be from 1 to %d", HeaderDeadline, modeler.MaxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// effectiveDeadline returns the caller's deadline or the one that the index allows, whichever is earlier.
func (h *SearchHandler) effectiveDeadline(in searchInput, index *planner.Index) time.Time {
	return earlierTime(in.deadline, time.Now().Add(index.Policy.Deadline.Duration))
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
