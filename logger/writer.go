package logger

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/spawner"
)

// maxQueuedLines is how many lines may wait for the output.
const maxQueuedLines = 512

// asyncWriter queues lines for a goroutine that writes them, and drops lines while the queue is full. Unlike the lines
// that limitedHandler drops, these are not counted.
type asyncWriter struct {
	lines chan []byte
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *asyncWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(b):
	default:
	}
	return len(b), nil
}

// drain writes queued lines until the context ends, then the lines that are still queued.
func (w *asyncWriter) drain(ctx context.Context, out io.Writer) error {
	for {
		select {
		case b := <-w.lines:
			_, _ = out.Write(b)
		case <-ctx.Done():
			for {
				select {
				case b := <-w.lines:
					_, _ = out.Write(b)
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// Start writes the logs of klog as JSON lines to the output until the context ends, except lines beyond the rate
// limits and lines that arrive while the queue is full. The returned channel receives the context's error once all queued
// lines are written.
func Start(ctx context.Context, out io.Writer) <-chan error {
	w := &asyncWriter{lines: make(chan []byte, maxQueuedLines)}
	h := limitedHandler{slog.NewJSONHandler(w, nil), &rateCounters{now: time.Now}}
	klog.SetSlogLogger(slog.New(h))
	return spawner.Go(ctx, func(ctx context.Context) error { return w.drain(ctx, out) })
}
