package configurer

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// decodeLine decodes a text as the registration of the searcher named by the key. A text that starts with "leaving"
// registers a leaving searcher, an empty text or "junk" is accepted without a registration, and "broken" fails.
// Any other text registers a ready searcher.
func decodeLine(key string, text []byte) (modeler.Configuration, error) {
	switch s := string(text); {
	case s == "":
		return modeler.Configuration{}, nil
	case s == "junk":
		return modeler.Configuration{Ignored: "junk"}, nil
	case s == "broken":
		return modeler.Configuration{}, errors.New("broken")
	default:
		return modeler.Configuration{Registrations: []modeler.Registration{{
			Searcher: modeler.Searcher{Name: modeler.SearcherName(key)}, Leaving: strings.HasPrefix(s, "leaving"),
		}}}, nil
	}
}

// countRegistrations returns how many searchers in force are ready and how many are leaving.
func countRegistrations(s *Store) (ready, leaving int) {
	_, configurations := s.InForce()
	for _, c := range configurations {
		for _, r := range c.Registrations {
			if r.Leaving {
				leaving++
			} else {
				ready++
			}
		}
	}
	return ready, leaving
}

// A searcher whose registration disappears stays in use for the hold period, because the registration may have lapsed
// while the platform's store was unreachable. A searcher that was never registered as ready is not used.
func TestRegistrationsAreHeld(t *testing.T) {
	const hold = 40 * time.Millisecond
	tests := []struct {
		name       string
		texts      []string
		duringHold [2]int // ready, leaving
		afterHold  [2]int
	}{
		{name: "ready", texts: []string{"ready"}, duringHold: [2]int{1, 0}, afterHold: [2]int{1, 0}},
		{name: "removed", texts: []string{"ready", ""}, duringHold: [2]int{0, 1}},
		{name: "marked as leaving", texts: []string{"ready", "leaving"}, duringHold: [2]int{0, 1}},
		{name: "removed and registered again", texts: []string{"ready", "", "ready"}, duringHold: [2]int{1, 0}, afterHold: [2]int{1, 0}},
		{name: "accepted without a registration", texts: []string{"ready", "junk"}, duringHold: [2]int{0, 1}},
		{name: "first seen leaving", texts: []string{"leaving"}},
		{name: "refused value leaves the last accepted value in force", texts: []string{"ready", "broken"}, duringHold: [2]int{1, 0}, afterHold: [2]int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewStore(WithDecode(decodeLine), WithHold(hold, time.Second))
			for i, text := range tt.texts {
				s.Offer(time.Now(), at(i+1), []Value{{"servers/a", at(i + 1), []byte(text)}})
			}
			if ready, leaving := countRegistrations(s); [2]int{ready, leaving} != tt.duringHold {
				t.Errorf("%d ready and %d leaving searchers during the hold period, want duringHold of the test case", ready, leaving)
			}
			time.Sleep(hold + 5*time.Millisecond)
			if ready, leaving := countRegistrations(s); [2]int{ready, leaving} != tt.afterHold {
				t.Errorf("%d ready and %d leaving searchers after the hold period, want afterHold of the test case", ready, leaving)
			}
		})
	}
}

func TestReplaceDeletesWhatIsMissing(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeLine))
	s.Offer(now, at(9), []Value{{"servers/a", at(1), []byte("ready")}, {"servers/b", at(2), []byte("ready")}, {"servers/c", at(9), []byte("ready")}})
	s.Replace(now, at(5), []Value{{"servers/a", at(1), []byte("ready")}})
	if ready, _ := countRegistrations(s); ready != 2 {
		t.Errorf("%d searchers are ready, want 2: the listed one and the one registered after the list's revision", ready)
	}
	if res := s.Offer(now, at(10), []Value{{"servers/b", at(2), []byte("ready")}}); res.Changed() {
		t.Error("a deleted value was accepted again at its old revision")
	}
}

func TestPruneForgetsOldDeletions(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeLine))
	s.Offer(now, at(3), []Value{{"servers/a", at(1), []byte("ready")}, {"servers/b", at(3), nil}})
	s.Prune(now.Add(-time.Minute))
	if n := s.State().Keys; n != 2 {
		t.Errorf("%d keys after Prune before the deletion time, want 2", n)
	}
	s.Prune(now.Add(time.Minute))
	if n := s.State().Keys; n != 1 {
		t.Errorf("%d keys after Prune past the deletion time, want 1", n)
	}
}

// Guards against a key that stays in force at a VM that was away for longer than deletions are kept.
func TestPullFromBeforeAPrunedDeletionIsWhole(t *testing.T) {
	now := time.Now()
	s, away := NewStore(WithDecode(decodeLine)), NewStore(WithDecode(decodeLine))
	for _, x := range []*Store{s, away} {
		x.Offer(now, at(2), []Value{{"servers/a", at(1), []byte("ready")}, {"servers/b", at(2), []byte("ready")}})
	}
	s.Offer(now, at(3), []Value{{"servers/a", at(3), nil}})
	s.Prune(now.Add(time.Minute))
	s.Offer(now, at(4), []Value{{"servers/c", at(4), []byte("ready")}})
	away.Apply(now, s.Delta(away.Head()))
	if ready, _ := countRegistrations(away); ready != 2 || away.Head() != at(4) {
		t.Errorf("%d searchers ready at %v, want the 2 that the other VM has", ready, away.Head())
	}
	if d := s.Delta(at(3)); d.Whole || len(d.Values) != 1 {
		t.Errorf("%d values after the deletion, whole: %v; want the one that is later", len(d.Values), d.Whole)
	}
}
