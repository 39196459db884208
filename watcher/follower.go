package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/spawner"
)

// ErrHistoryLost says that the store no longer has the changes after a revision.
var ErrHistoryLost = errors.New("the store has dropped this history")

// Page is one answer of the store: values, whether more follow, and the revision of the store.
type Page struct {
	Values []configurer.Value
	More   bool
	At     modeler.Revision
}

// Bounds of following the store.
const (
	MinWait      = 2500 * time.Millisecond
	MaxWait      = 25 * time.Second
	VMsPerWait   = 100
	maxPages     = 400
	minRewatch   = 200 * time.Millisecond
	readerPeriod = 100 * time.Millisecond
)

// Follower keeps one VM's store of values up to date with all keys of the platform's store, while the VM is one of its readers.
type Follower struct {
	List    func(ctx context.Context, after string) (Page, error)
	Watch   func(ctx context.Context, after modeler.Revision, wait time.Duration) (Page, error)
	Store   *configurer.Store
	VMs     func() int
	Reader  func() bool
	Lost    func()
	Changed func(refused []configurer.Refusal, changed bool)

	lost   bool
	cursor modeler.Revision
}

// Run lists and watches until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	failed := 0
	for ctx.Err() == nil {
		if !f.Reader() {
			spawner.Sleep(ctx, readerPeriod)
			continue
		}
		err := f.Step(ctx)
		f.note(err)
		if err == nil {
			failed = 0
			spawner.Sleep(ctx, minRewatch)
			continue
		}
		failed++
		f.Lost()
		spawner.Sleep(ctx, configurer.Backoff(failed, rand.Float64()))
	}
	return ctx.Err()
}

// Step lists all values if it has to, or else waits for a change; values that make it panic are an error.
func (f *Follower) Step(ctx context.Context) (err error) {
	defer spawner.Recover("store", &err)
	f.cursor = max(f.cursor, f.Store.Head())
	if f.Store.Head() == 0 {
		return f.list(ctx)
	}
	p, err := f.Watch(ctx, f.cursor, f.wait())
	if errors.Is(err, ErrHistoryLost) {
		klog.InfoS("store: history lost", "revision", f.cursor)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.cursor = max(f.cursor, p.At)
	if len(p.Values) > 0 {
		f.Changed(f.Store.Offer(time.Now(), p.At, p.Values))
	}
	return nil
}

// wait grows with the fleet, so that watches that end without news stay few.
func (f *Follower) wait() time.Duration {
	return min(MaxWait, max(MinWait, time.Duration(f.VMs())*time.Second/VMsPerWait))
}

// list reads all pages; a key that the store had and the pages lack was deleted, unless it changed since the first page.
func (f *Follower) list(ctx context.Context) error {
	var all []configurer.Value
	var first modeler.Revision
	after := ""
	for n := range maxPages {
		p, err := f.List(ctx, after)
		if err != nil {
			return err
		}
		if n == 0 {
			first = p.At
		}
		all = append(all, p.Values...)
		if !p.More || len(p.Values) == 0 {
			break
		}
		after = p.Values[len(p.Values)-1].Key
	}
	f.Changed(f.Store.Replace(time.Now(), first, all))
	f.cursor = first
	return nil
}

// note logs that the store was lost or regained.
func (f *Follower) note(err error) {
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		if lost {
			klog.InfoS("store: lost", "error", err.Error(), "revision", f.Store.Head())
		} else {
			klog.InfoS("store: regained", "revision", f.Store.Head())
		}
	}
}
