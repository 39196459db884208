package spawner

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Go runs fn in a goroutine and reports its error, or nil, on the channel returned.
func Go(ctx context.Context, fn func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() { done <- guarded(ctx, fn) }()
	return done
}

// Wait reads all ends and returns the first error that is not the context's own.
func Wait(ends ...<-chan error) error {
	var first error
	for _, end := range ends {
		err := <-end
		if err != nil && first == nil && !errors.Is(err, context.Canceled) {
			first = err
		}
	}
	return first
}

// Sleep waits for the time or the end of the context, whichever comes first.
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

func guarded(ctx context.Context, fn func(context.Context) error) (err error) {
	defer Recover("goroutine", &err)
	return fn(ctx)
}
