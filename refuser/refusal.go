package refuser

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Refusal is an error with a kind from the list.
type Refusal struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration // known time after which the request may be served; 0 if none is known
}

// New returns a refusal of the kind with a formatted detail.
func New(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// After sets the time after which the request may be served, and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the kind and the detail.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }

// From returns the refusal that err is or wraps. Any other error becomes a refusal of kind Internal.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, "%v", err)
}
