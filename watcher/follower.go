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

// ErrHistoryLost means that the platform's store no longer has all changes after the revision of a watch.
var ErrHistoryLost = errors.New("the store no longer has the changes after the requested revision")

// errPageOfAnotherList reports a page that is older than the first page of its list, or of another epoch.
var errPageOfAnotherList = errors.New("the store answered with a page of another list")

// errUnfinishedList reports a list whose last page was not read: it has more than maxPages, or an empty page before it.
var errUnfinishedList = errors.New("the store's list has no end")

// errEarlierEpoch reports an answer of an earlier epoch than that of the configuration in force.
var errEarlierEpoch = errors.New("the store answered with an earlier epoch than that of the configuration in force")

// errEarlierRevision reports a list of an earlier revision than that of the configuration in force, in the same epoch.
var errEarlierRevision = errors.New("the store listed an earlier revision than that of the configuration in force, and names no later epoch")

// Page is one answer of the platform's store to List or Watch.
type Page struct {
	Values   []configurer.Value
	More     bool             // whether a list has more pages
	Position modeler.Position // of the platform's store at the time of the answer
}

// Limits on the reads of the platform's store.
const (
	// StoreWait is how long a watch of the store waits for a change. The time is part of the request, unlike in a watch of
	// the configuration service (WatchTimeout). Its end without a change confirms the configuration; see Follower.Confirm.
	StoreWait = time.Second
	// maxPages bounds the pages of one list.
	maxPages = 400
	// watchPause is the time between a successful step and the next.
	watchPause = 200 * time.Millisecond
	// readerCheckPeriod is how often a VM that is not a reader checks whether it has become one.
	readerCheckPeriod = 100 * time.Millisecond
)

// Follower keeps one VM's configuration store up to date with all keys of the platform's store, while the VM is one
// of the readers of the platform's store. A VM that is not a reader gets the changes from other VMs, outside this
// package.
type Follower struct {
	// List reads one page of all values, in the order of their keys and starting after the given key.
	List func(ctx context.Context, after string) (Page, error)
	// Watch reads the changes after a revision and waits for one if there is none yet.
	Watch        func(ctx context.Context, after modeler.Revision, wait time.Duration) (Page, error)
	Store        *configurer.Store
	Confirm      func(at time.Time)      // called when Store was found to have every change until then
	IsReader     func() bool             // whether this VM reads the platform's store
	OnStepFailed func()                  // called after each failed step
	Changed      func(configurer.Result) // called with the result of each change of Store
	Listed       func(configurer.Result) // called with the result of each list; nil if not needed

	storeLost   bool             // whether the last step failed
	cursor      modeler.Position // the next watch asks for the changes after this position
	watchedAt   time.Time        // when a watch last had an answer with all changes after the cursor, or the first list was sent
	historyLost int              // watches in a row whose changes the store did not have
}

// Run lists and watches while this VM is a reader, until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if !f.IsReader() {
			spawner.Sleep(ctx, readerCheckPeriod)
			continue
		}
		err := f.Step(ctx)
		f.logStoreState(err)
		if err == nil {
			failures = 0
			spawner.Sleep(ctx, watchPause)
			continue
		}
		failures++
		f.OnStepFailed()
		spawner.Sleep(ctx, configurer.Backoff(failures, rand.Float64()))
	}
	return ctx.Err()
}

// Step lists all values if this VM has none, or if the platform's store does not have the changes that this VM lacks: it
// has discarded them, or has come back from an older copy. Otherwise it watches once. A panic is returned as an error.
func (f *Follower) Step(ctx context.Context) (err error) {
	defer spawner.Recover("store", &err)
	if head := f.Store.Head(); head.After(f.cursor) {
		f.cursor = head
	}
	if f.Store.Head().IsZero() {
		return f.list(ctx, modeler.Position{})
	}
	sent := time.Now()
	p, err := f.Watch(ctx, f.cursor.Revision, StoreWait)
	lost := errors.Is(err, ErrHistoryLost)
	switch {
	case err != nil && !lost:
		return err
	case lost || p.Position.Epoch > f.cursor.Epoch:
		f.historyLost++
		return f.list(ctx, p.Position)
	}
	if err := checkNotEarlier(p.Position, f.cursor); err != nil {
		return err
	}
	f.watchedAt, f.historyLost = time.Now(), 0
	if p.Position.After(f.cursor) {
		f.cursor = p.Position
	}
	if len(p.Values) > 0 {
		f.Changed(f.Store.Offer(time.Now(), p.Position, p.Values))
		f.Confirm(sent)
		return nil
	}
	f.Confirm(earlier(time.Now(), sent.Add(StoreWait)))
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// list reads all values. A key that the VM's store has and the list lacks counts as deleted, unless it was changed after the
// position of the first page. lostAt is the position of the store in the answer that led to the list.
func (f *Follower) list(ctx context.Context, lostAt modeler.Position) error {
	sent := time.Now()
	at, values, err := f.readPages(ctx)
	if err != nil {
		return err
	}
	res := f.Store.Replace(time.Now(), at, values)
	f.logList(&res, lostAt, at, len(values))
	f.Changed(res)
	f.cursor = at
	if f.watchedAt.IsZero() {
		f.watchedAt = sent
	}
	f.Confirm(sent)
	return nil
}

// readPages returns the values of all pages of one list, and the position of the first.
func (f *Follower) readPages(ctx context.Context) (at modeler.Position, values []configurer.Value, err error) {
	held := f.Store.Head()
	after := ""
	for n := range maxPages {
		p, err := f.List(ctx, after)
		if err != nil {
			return modeler.Position{}, nil, err
		}
		if n == 0 {
			at = p.Position
		}
		if err := checkNotEarlier(at, held); err != nil {
			return modeler.Position{}, nil, err
		}
		if p.Position.Epoch != at.Epoch || at.After(p.Position) {
			return modeler.Position{}, nil, errPageOfAnotherList
		}
		values = append(values, p.Values...)
		if !p.More {
			return at, values, nil
		}
		if len(p.Values) == 0 {
			break
		}
		after = p.Values[len(p.Values)-1].Key
	}
	return modeler.Position{}, nil, errUnfinishedList
}

// checkNotEarlier returns an error if the store is at an earlier position than what this VM held before it asked.
func checkNotEarlier(store, held modeler.Position) error {
	switch {
	case store.Epoch < held.Epoch:
		return errEarlierEpoch
	case held.After(store):
		return errEarlierRevision
	}
	return nil
}

// logList logs what the store answered and what became of a list's values. The positions are those of the store in the
// watch that failed and in the first page.
func (f *Follower) logList(res *configurer.Result, lostAt, first modeler.Position, values int) {
	behind := time.Duration(0)
	if !f.watchedAt.IsZero() {
		behind = time.Since(f.watchedAt)
	}
	klog.InfoS("store: listed", "history-lost", f.historyLost, "cursor", f.cursor.String(), "held", res.Before.String(),
		"watch-at", lostAt.String(), "at", first.String(), "values", values, "added", res.Added, "replaced", res.Replaced,
		"removed", res.Removed, "older", res.Older, "refused", len(res.Refused), "older-key", res.Unused.Key,
		"older-offered", res.Unused.Offered.String(), "older-held", res.Unused.Held.String(), "behind-ms", behind.Milliseconds())
	if f.Listed != nil {
		f.Listed(*res)
	}
}

// logStoreState logs when the platform's store is lost (a step failed) or regained (the next step that succeeded).
func (f *Follower) logStoreState(err error) {
	if lost := err != nil; lost != f.storeLost {
		f.storeLost = lost
		if lost {
			klog.InfoS("store: lost", "error", err.Error(), "held", f.Store.Head().String())
		} else {
			klog.InfoS("store: regained", "held", f.Store.Head().String())
		}
	}
}
