package watcher

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/configurer"
	"github.com/pistachiogap/pistachiogap/modeler"
)

func in(epoch, rev int) modeler.Position {
	return modeler.Position{Epoch: modeler.Epoch(epoch), Revision: modeler.Revision(rev)}
}

// newFollower returns a follower of a store whose watches answer with watch and whose lists have the pages.
func newFollower(watch func(after modeler.Revision) (Page, error), pages map[string]Page) *Follower {
	return &Follower{
		Store: configurer.NewStore(configurer.WithDecode(func(string, []byte) (modeler.Configuration, error) {
			return modeler.Configuration{}, nil
		})),
		List:    func(_ context.Context, after string) (Page, error) { return pages[after], nil },
		Watch:   func(_ context.Context, after modeler.Revision, _ time.Duration) (Page, error) { return watch(after) },
		Confirm: func(time.Time) {},
		Changed: func(configurer.Result) {},
	}
}

// Guards against a VM that watches for ever from a revision of an earlier epoch, with or without an answer of 410.
func TestLaterEpochIsListed(t *testing.T) {
	for name, lost := range map[string]error{"410": ErrHistoryLost, "changes after the revision": nil} {
		var after modeler.Revision
		f := newFollower(func(r modeler.Revision) (Page, error) {
			after = r
			return Page{Position: in(2, 380), Values: []configurer.Value{{Key: "b", Position: in(2, 380), Text: []byte("x")}}}, lost
		}, map[string]Page{"": {Values: []configurer.Value{{Key: "a", Position: in(2, 361), Text: []byte("x")}}, Position: in(2, 365)}})
		f.Store.Offer(time.Now(), in(1, 374), nil)
		if err := f.Step(t.Context()); err != nil || after != 374 {
			t.Errorf("%s: error %v, watched after %d; want a watch after 374 and a list", name, err, after)
		}
		if head := f.Store.Head(); head != in(2, 365) {
			t.Errorf("%s: head %v, want 2:365 of the list", name, head)
		}
		_ = f.Step(t.Context())
		if after != 365 {
			t.Errorf("%s: the next watch was after %d, want 365", name, after)
		}
	}
}

// Guards against a list that mixes pages from before and after a return, and against a store that names an earlier epoch.
func TestAnswersOfOtherEpochsAreNotUsed(t *testing.T) {
	value := func(key string, p modeler.Position) []configurer.Value {
		return []configurer.Value{{Key: key, Position: p, Text: []byte("x")}}
	}
	tests := []struct {
		name  string
		watch modeler.Position
		lost  error
		pages map[string]Page
		want  error
	}{
		{"pages of two epochs", in(2, 5), nil, map[string]Page{"": {Values: value("a", in(2, 3)), More: true, Position: in(2, 5)}, "a": {Values: value("b", in(3, 9)), Position: in(3, 9)}}, errPageOfAnotherList},
		{"watch of an earlier epoch", in(0, 99), nil, nil, errEarlierEpoch},
		{"list of an earlier revision", in(1, 3), ErrHistoryLost, map[string]Page{"": {Values: value("a", in(1, 2)), Position: in(1, 3)}}, errEarlierRevision},
		{"list of an earlier epoch", in(2, 5), nil, map[string]Page{"": {Values: value("a", in(0, 3)), Position: in(0, 5)}}, errEarlierEpoch},
	}
	for _, tt := range tests {
		f := newFollower(func(modeler.Revision) (Page, error) { return Page{Position: tt.watch}, tt.lost }, tt.pages)
		f.Store.Offer(time.Now(), in(1, 4), value("k", in(1, 4)))
		confirmed := false
		f.Confirm = func(time.Time) { confirmed = true }
		if err := f.Step(t.Context()); !errors.Is(err, tt.want) || confirmed || f.Store.Head() != in(1, 4) {
			t.Errorf("%s: error %v, confirmed %v, head %v; want error %v and what was held before", tt.name, err, confirmed, f.Store.Head(), tt.want)
		}
	}
}
