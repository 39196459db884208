package watcher_test

import (
	"context"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/platform/imitator"
	"github.com/pistachiogap/pistachiogap/watcher"
)

// follow returns a follower of the store that keeps the results of what it offers. Registrations are held for an hour.
func follow(t *testing.T, s *imitator.Store, results *[]configurer.Result) *watcher.Follower {
	c := platform.NewStore(netip.MustParseAddr("127.0.0.1"), s.Addr(), func() {})
	t.Cleanup(c.Close)
	t.Cleanup(s.Close)
	return &watcher.Follower{
		List: c.List, Watch: c.Watch, Confirm: func(time.Time) {},
		Store:   configurer.NewStore(configurer.WithDecode(platform.Decode), configurer.WithHold(time.Hour, time.Hour)),
		Changed: func(r configurer.Result) { *results = append(*results, r) },
	}
}

func step(t *testing.T, f *watcher.Follower) {
	t.Helper()
	if err := f.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func entry(n int, state string) (key string, value map[string]any) {
	x := &imitator.Searcher{Service: "portal"}
	return fmt.Sprintf("servers/s-%d", n), x.Registration(state, fmt.Sprintf("127.0.0.1:%d", 1000+n))
}

// Guards against a list after a discarded history that renews or drops registrations, or their holds.
func TestListInOneEpochChangesNoRegistration(t *testing.T) {
	s := imitator.NewStore()
	var results []configurer.Result
	f := follow(t, s, &results)
	for n := range 8 {
		s.Put(entry(n, "ready"))
	}
	step(t, f)
	s.Remove("servers/s-1")
	s.Put(entry(2, "draining"))
	s.Put("servers/s-3", []byte("{"))
	step(t, f)
	_, before := f.Store.InForce()
	state := f.Store.State()
	results = nil
	lists := s.ListCount()
	f.Watch = func(context.Context, modeler.Revision, time.Duration) (watcher.Page, error) {
		return watcher.Page{}, watcher.ErrHistoryLost
	}
	for range 3 {
		step(t, f)
	}
	if s.ListCount() != lists+3 {
		t.Fatalf("%d lists, want 3", s.ListCount()-lists)
	}
	for _, r := range results {
		if r.Changed() || r.Older > 0 || len(r.Refused) > 0 {
			t.Errorf("a list of what is held has the result %+v, want none", r)
		}
	}
	if _, after := f.Store.InForce(); !reflect.DeepEqual(after, before) {
		t.Errorf("the registrations in force changed from %+v to %+v", before, after)
	}
	if !reflect.DeepEqual(f.Store.State(), state) {
		t.Errorf("the state changed from %+v to %+v", state, f.Store.State())
	}
}
