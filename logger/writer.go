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

// queuedLines bounds the lines that wait for the output.
const queuedLines = 512

// writer hands lines to a goroutine and drops them while the output does not keep up.
type writer struct {
	lines chan []byte
}

// Write queues a line.
func (w *writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(b):
	default:
	}
	return len(b), nil
}

// drain writes the queued lines until the context ends, then those that are left.
func (w *writer) drain(ctx context.Context, out io.Writer) error {
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

// Start sends all logs as JSON lines to the output until the context ends; the channel reports that the last line is written.
func Start(ctx context.Context, out io.Writer) <-chan error {
	w := &writer{lines: make(chan []byte, queuedLines)}
	h := limited{slog.NewJSONHandler(w, nil), &rates{now: time.Now}}
	klog.SetSlogLogger(slog.New(h))
	return spawner.Go(ctx, func(ctx context.Context) error { return w.drain(ctx, out) })
}
