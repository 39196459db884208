package dialer

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRetryAfter keeps the result within what a time.Duration can hold. It is far above the longest backoff in the settings.
const maxRetryAfter = 1e9 // seconds

// ReadRetryAfter returns how long a searcher wants no requests, by the longest Retry-After that can be read: a number of
// seconds, which may be a fraction, or a date, which counts from the date of the answer. It is 0 if there is none.
func ReadRetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	answerDate := string(h.Peek(fasthttp.HeaderDate))
	longest := time.Duration(0)
	for _, b := range h.PeekAll(fasthttp.HeaderRetryAfter) {
		longest = max(longest, parseRetryAfter(strings.TrimSpace(string(b)), answerDate))
	}
	return longest
}

func parseRetryAfter(value, answerDate string) time.Duration {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
		return time.Duration(min(seconds, maxRetryAfter) * float64(time.Second))
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	from, err := http.ParseTime(answerDate)
	if err != nil {
		return 0
	}
	return max(0, at.Sub(from))
}
