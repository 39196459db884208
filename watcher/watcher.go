package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Watcher keeps one VM's store up to date from the platform.
type Watcher struct {
	Client  *Client
	Store   *configurer.Store
	Reader  func() bool
	VMs     func() int
	Changed func(refused []configurer.Refusal, changed bool)
	Listed  func(modeler.Listing)
}

// Run reads and watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	failed := 0
	for ctx.Err() == nil {
		err := w.Refresh(ctx, w.Reader() && failed == 0)
		wait := time.Duration(0)
		switch {
		case err != nil:
			failed++
			wait = configurer.Backoff(failed, rand.Float64())
		case !w.Reader():
			failed = 0
			wait = configurer.PollPeriod(w.VMs())
		default:
			failed = 0
		}
		spawner.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// RunListing reads the lagging list of VMs every period until the context ends.
func (w *Watcher) RunListing(ctx context.Context, period time.Duration) error {
	for ctx.Err() == nil {
		if l, err := w.Client.Listing(ctx); err == nil {
			w.Listed(l)
		}
		spawner.Sleep(ctx, max(period, configurer.PollPeriod(w.VMs())))
	}
	return ctx.Err()
}

// Refresh reads the directory, waiting for a later one if wait is set, and every value that the store lacks.
func (w *Watcher) Refresh(ctx context.Context, wait bool) error {
	head := w.Store.Head()
	d, err := w.Client.Directory(ctx, head, wait && head > 0)
	if err != nil {
		return err
	}
	var values []configurer.Value
	for _, key := range w.Store.Lacks(d.Keys) {
		v, err := w.Client.Value(ctx, key)
		if err != nil {
			return err
		}
		values = append(values, v)
	}
	refused, changed := w.Store.Offer(time.Now(), d.Revision, values)
	w.Changed(refused, changed)
	return nil
}
