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

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Wall) }

// MarshalText encodes the stamp as "wall.logical" in decimal.
func (s Stamp) MarshalText() ([]byte, error) {
	b := strconv.AppendInt(nil, s.Wall, 10)
	return strconv.AppendUint(append(b, '.'), uint64(s.Logical), 10), nil
}

// UnmarshalText decodes "wall.logical".
func (s *Stamp) UnmarshalText(b []byte) error {
	wall, logical, ok := strings.Cut(string(b), ".")
	w, err1 := strconv.ParseInt(wall, 10, 64)
	l, err2 := strconv.ParseUint(logical, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return errors.Errorf("parse stamp %q: want wall.logical, two decimal numbers", b)
	}
	*s = Stamp{w, uint32(l)}
	return nil
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a clock that reads the wall time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp that comes after all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// Observe makes later calls of Now return stamps after s, which another process issued.
// A stamp more than MaxSkew ahead of the wall time is ignored.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall <= c.now().Add(MaxSkew).UnixMicro() {
		c.advance(s)
	}
}

// advance returns the next stamp, which comes after the last one and after observed.
func (c *Clock) advance(observed Stamp) Stamp {
	next := Stamp{Wall: c.now().UnixMicro()}
	for _, s := range []Stamp{c.last, observed} {
		if !s.Before(next) {
			next = Stamp{s.Wall, s.Logical + 1}
		}
	}
	c.last = next
	return next
}
