package modeler

import (
	"math"
	"strconv"
	"strings"
)

// LimitState says what an answer tells about its searcher's limit.
type LimitState uint8

// The states of a RateLimit.
const (
	NotStated  LimitState = iota // the searcher takes requests at any rate
	Stated                       // the searcher takes PerSecond
	Unreadable                   // the answer states a limit that cannot be read, which tells nothing
)

// RateLimit is the rate of requests that a searcher takes from all VMs together.
type RateLimit struct {
	State     LimitState
	PerSecond float64 // requests per second, not negative; 0 unless stated
}

// ParseRateLimit reads the values in which an answer states its searcher's limit. Of several, the lowest one counts that
// is a number, finite and not negative.
func ParseRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return RateLimit{}
	}
	lowest := math.Inf(1)
	for _, s := range values {
		x, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err == nil && x >= 0 && x < lowest {
			lowest = x
		}
	}
	if math.IsInf(lowest, 1) {
		return RateLimit{State: Unreadable}
	}
	return RateLimit{Stated, lowest}
}
