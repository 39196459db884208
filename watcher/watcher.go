package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// Watcher keeps one VM's configuration store up to date from the platform's configuration service.
type Watcher struct {
	Client   *Client
	Store    *configurer.Store
	IsReader func() bool             // whether this VM holds a watch; other VMs poll
	VMCount  func() int              // the number of VMs in the fleet
	Changed  func(configurer.Result) // called with the result of each Store.Offer
	Listed   func(modeler.Listing)   // called with each list of VMs
}

// Run refreshes the store, by watching or by polling, until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		// After a failure, which may be a watch without a change, the next read does not wait for one.
		err := w.Refresh(ctx, w.IsReader() && failures == 0)
		wait := time.Duration(0)
		switch {
		case err != nil:
			failures++
			wait = configurer.Backoff(failures, rand.Float64())
		case !w.IsReader():
			failures = 0
			wait = configurer.PollPeriod(w.VMCount())
		default:
			failures = 0
		}
		spawner.Sleep(ctx, wait)
	}
	return ctx.Err()
}

// RunListing reads the platform's list of VMs once in each period, or less often in a large fleet, until the context
// ends. A read that fails is not reported and is not repeated before the next period.
func (w *Watcher) RunListing(ctx context.Context, period time.Duration) error {
	for ctx.Err() == nil {
		if l, err := w.Client.Listing(ctx); err == nil {
			w.Listed(l)
		}
		spawner.Sleep(ctx, max(period, configurer.PollPeriod(w.VMCount())))
	}
	return ctx.Err()
}

// Refresh reads the directory, then every value that the store lacks, and offers the values to the store.
// If wait is set and the store holds a revision, it waits for a directory with a later one.
func (w *Watcher) Refresh(ctx context.Context, wait bool) error {
	head := w.Store.Head()
	d, err := w.Client.Directory(ctx, head.Revision, wait && !head.IsZero())
	if err != nil {
		return err
	}
	var values []configurer.Value
	for _, key := range w.Store.OutdatedKeys(d.Keys) {
		v, err := w.Client.Value(ctx, key)
		if err != nil {
			return err
		}
		values = append(values, v)
	}
	w.Changed(w.Store.Offer(time.Now(), modeler.Position{Revision: d.Revision}, values))
	return nil
}
