package recorder

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Stamp is a reading of a hybrid logical clock (Kulkarni et al. 2014): wall time in microseconds and a counter.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Before reports whether s comes before t.
func (s Stamp) Before(t Stamp) bool {
	return s.Wall < t.Wall || (s.Wall == t.Wall && s.Logical < t.Logical)
}

// Time returns the wall part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Wall) }

// MarshalText writes the stamp as wall.logical.
func (s Stamp) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, s.Wall, 10)
	return strconv.AppendUint(append(b, '.'), uint64(s.Logical), 10), nil
}

// UnmarshalText reads wall.logical.
func (s *Stamp) UnmarshalText(b []byte) error {
	wall, logical, ok := strings.Cut(string(b), ".")
	w, err1 := strconv.ParseInt(wall, 10, 64)
	l, err2 := strconv.ParseUint(logical, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return errors.Errorf("%q is not a stamp", b)
	}
	*s = Stamp{w, uint32(l)}
	return nil
}

// Clock is a hybrid logical clock.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Stamp
}

// NewClock makes a clock over the wall time.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp after all earlier ones.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// Observe takes in a stamp from another process, so that what follows is stamped after it; one more than MaxSkew ahead is ignored.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall <= c.wall().Add(MaxSkew).UnixMicro() {
		c.advance(s)
	}
}

func (c *Clock) advance(seen Stamp) Stamp {
	next := Stamp{Wall: c.wall().UnixMicro()}
	for _, s := range []Stamp{c.last, seen} {
		if !s.Before(next) {
			next = Stamp{s.Wall, s.Logical + 1}
		}
	}
	c.last = next
	return next
}
