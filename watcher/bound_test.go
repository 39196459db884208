package watcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
	"github.com/pistachiogap/pistachiogap/platform"
	"github.com/pistachiogap/pistachiogap/watcher"
)

// Guards against keys that count as deleted because a list ended before the page that has them.
func TestUnfinishedListDeletesNothing(t *testing.T) {
	const keys = 500
	value := func(n int) configurer.Value {
		return configurer.Value{Key: fmt.Sprintf("servers/s-%03d", n), Position: modeler.Position{Revision: modeler.Revision(n + 1)}, Text: []byte("{}")}
	}
	var all []configurer.Value
	for n := range keys {
		all = append(all, value(n))
	}
	at := modeler.Position{Revision: keys}
	onePerPage := func(_ context.Context, after string) (watcher.Page, error) {
		n := 0
		if after != "" {
			_, _ = fmt.Sscanf(after, "servers/s-%d", &n)
			n++
		}
		return watcher.Page{Values: all[n : n+1], More: n+1 < keys, Position: at}, nil
	}
	emptyPage := func(_ context.Context, after string) (watcher.Page, error) {
		if after == "" {
			return watcher.Page{Values: all[:1], More: true, Position: at}, nil
		}
		return watcher.Page{More: true, Position: at}, nil
	}
	for name, list := range map[string]func(context.Context, string) (watcher.Page, error){"more pages than the bound": onePerPage, "empty page before the last": emptyPage} {
		t.Run(name, func(t *testing.T) {
			removed := 0
			f := &watcher.Follower{
				List: list, Confirm: func(time.Time) {}, Changed: func(r configurer.Result) { removed += r.Removed },
				Watch: func(context.Context, modeler.Revision, time.Duration) (watcher.Page, error) {
					return watcher.Page{}, watcher.ErrHistoryLost
				},
				Store: configurer.NewStore(configurer.WithDecode(platform.Decode)),
			}
			f.Store.Offer(time.Now(), at, all)
			err := f.Step(t.Context())
			if removed > 0 {
				t.Errorf("%d keys were deleted that the pages read lack, and the list succeeded: %v", removed, err)
			}
		})
	}
}
