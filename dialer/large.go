package dialer

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
)

// answerRoom bounds the memory of large answers that are being read at the same time. Others wait unread, so that their
// searchers wait too.
type answerRoom struct {
	size  int64
	bytes *semaphore.Weighted
}

// newAnswerRoom returns room for answers of n bytes together, or nil, which bounds nothing, if n is 0.
func newAnswerRoom(n int64) *answerRoom {
	if n == 0 {
		return nil
	}
	return &answerRoom{size: n, bytes: semaphore.NewWeighted(n)}
}

// reserveFunc waits until there is room for a large answer of n bytes; nil has room for all.
type reserveFunc func(n int) error

// ifLarge reserves room for an answer of n bytes if it is large.
func (f reserveFunc) ifLarge(n int) error {
	if f == nil || n <= SmallAnswerBytes {
		return nil
	}
	return f(n)
}

// reservation returns a function that reserves room for one answer, once, and one that gives the room back.
func (r *answerRoom) reservation(ctx context.Context) (reserveFunc, func()) {
	if r == nil {
		return nil, func() {}
	}
	held := int64(0)
	reserve := func(n int) error {
		if held > 0 {
			return nil
		}
		want := min(int64(n), r.size)
		if err := r.bytes.Acquire(ctx, want); err != nil {
			return err
		}
		held = want
		return nil
	}
	return reserve, func() { r.bytes.Release(held) }
}

// TakeBody returns the body of an answer, which no longer belongs to the answer. A large one is not copied, so that the
// answer's buffer is not kept for others beside it.
func TakeBody(res *fasthttp.Response) []byte {
	if len(res.Body()) > SmallAnswerBytes {
		return res.SwapBody(nil)
	}
	return bytes.Clone(res.Body())
}

// answerReader reads from the connection. An answer that turns out to be large, although its head gave no length,
// reserves the room of the largest.
type answerReader struct{ *conn }

// Read reads bytes of an answer.
func (r answerReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.received += n
	if r.received <= SmallAnswerBytes || r.reserve == nil {
		return n, err
	}
	if waitErr := r.reserve(MaxAnswerBytes); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
