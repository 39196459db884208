package watcher

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against keys that are deleted because a late copy of an earlier list's page, which lacks them, is read as a page
// of this list.
func TestPageOfAnEarlierListIsNotUsed(t *testing.T) {
	value := func(key string, r modeler.Revision) configurer.Value {
		return configurer.Value{Key: key, Position: modeler.Position{Revision: r}, Text: []byte("x")}
	}
	second := Page{Values: []configurer.Value{value("c", 5)}, Position: modeler.Position{Revision: 6}} // from before b was written
	f := &Follower{
		Store: configurer.NewStore(configurer.WithDecode(func(string, []byte) (modeler.Configuration, error) {
			return modeler.Configuration{}, nil
		})),
		List: func(_ context.Context, after string) (Page, error) {
			if after == "" {
				return Page{Values: []configurer.Value{value("a", 3)}, More: true, Position: modeler.Position{Revision: 9}}, nil
			}
			return second, nil
		},
		Watch:   func(context.Context, modeler.Revision, time.Duration) (Page, error) { return Page{}, ErrHistoryLost },
		Confirm: func(time.Time) {},
		Changed: func(configurer.Result) {},
	}
	f.Store.Offer(time.Now(), modeler.Position{Revision: 8}, []configurer.Value{value("b", 7)})
	if err := f.Step(t.Context()); err == nil {
		t.Error("a list with a page of an earlier list was used")
	}
	deleted := func() bool {
		return !slices.ContainsFunc(f.Store.Delta(modeler.Position{}).Values, func(v configurer.Value) bool {
			return v.Key == "b" && len(v.Text) > 0
		})
	}
	if deleted() {
		t.Error("a key was deleted that only the earlier list lacks")
	}
	second.Position.Revision = 9
	if err := f.Step(t.Context()); err != nil || !deleted() {
		t.Errorf("error %v, key deleted: %v; want the list used, which lacks the key", err, deleted())
	}
}
