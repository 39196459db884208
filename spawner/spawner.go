package spawner

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Go runs fn in a goroutine and sends its error, or nil, to the returned channel once fn has returned or panicked.
// The context is only passed to fn: the goroutine ends when fn does.
func Go(ctx context.Context, fn func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- runRecovered(ctx, fn) }()
	return done
}

// Wait waits for the goroutines whose channels it is passed, and returns the first error, in the order of the
// arguments, that is not context.Canceled. A channel from Go gives its error once, so it can be waited for only once.
func Wait(done ...<-chan error) error {
	var first error
	for _, ch := range done {
		err := <-ch
		if err != nil && first == nil && !errors.Is(err, context.Canceled) {
			first = err
		}
	}
	return first
}

// Sleep waits until the duration has passed or the context ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func runRecovered(ctx context.Context, fn func(context.Context) error) (err error) {
	defer Recover("goroutine", &err)
	return fn(ctx)
}
