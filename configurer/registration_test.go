package configurer

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// decodeLine reads "ready", "leaving" or "junk" as the registration of the key.
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

func registered(s *Store) (ready, leaving int) {
	_, in := s.InForce()
	for _, c := range in {
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

// A searcher whose registration goes stays for the hold, for it may have lapsed while the store was away; one that was never known as ready is not used.
func TestRegistrationsAreHeld(t *testing.T) {
	const hold = 40 * time.Millisecond
	tests := []struct {
		name       string
		texts      []string
		during     [2]int
		afterwards [2]int
	}{
		{name: "ready", texts: []string{"ready"}, during: [2]int{1, 0}, afterwards: [2]int{1, 0}},
		{name: "removed", texts: []string{"ready", ""}, during: [2]int{0, 1}},
		{name: "says that it leaves", texts: []string{"ready", "leaving"}, during: [2]int{0, 1}},
		{name: "removed and back", texts: []string{"ready", "", "ready"}, during: [2]int{1, 0}, afterwards: [2]int{1, 0}},
		{name: "unreadable", texts: []string{"ready", "junk"}, during: [2]int{0, 1}},
		{name: "first seen leaving", texts: []string{"leaving"}},
		{name: "refused value leaves the last one", texts: []string{"ready", "broken"}, during: [2]int{1, 0}, afterwards: [2]int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewStore(WithDecode(decodeLine), WithHold(hold))
			for i, text := range tt.texts {
				s.Offer(time.Now(), modeler.Revision(i+1), []Value{{"servers/a", modeler.Revision(i + 1), []byte(text)}})
			}
			if ready, leaving := registered(s); [2]int{ready, leaving} != tt.during {
				t.Errorf("during the hold: %d ready, %d leaving", ready, leaving)
			}
			time.Sleep(hold + 5*time.Millisecond)
			if ready, leaving := registered(s); [2]int{ready, leaving} != tt.afterwards {
				t.Errorf("after the hold: %d ready, %d leaving", ready, leaving)
			}
		})
	}
}

func TestReplaceDeletesWhatIsMissing(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeLine))
	s.Offer(now, 9, []Value{{"servers/a", 1, []byte("ready")}, {"servers/b", 2, []byte("ready")}, {"servers/c", 9, []byte("ready")}})
	s.Replace(now, 5, []Value{{"servers/a", 1, []byte("ready")}})
	if ready, _ := registered(s); ready != 2 {
		t.Errorf("%d are left: the one listed and the one that is later than the list must stay", ready)
	}
	if _, changed := s.Offer(now, 10, []Value{{"servers/b", 2, []byte("ready")}}); changed {
		t.Error("a deleted value came back at its old revision")
	}
}

func TestPruneForgetsOldDeletions(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeLine))
	s.Offer(now, 3, []Value{{"servers/a", 1, []byte("ready")}, {"servers/b", 3, nil}})
	s.Prune(now.Add(-time.Minute))
	if n := s.State().Keys; n != 2 {
		t.Errorf("%d keys after pruning nothing", n)
	}
	s.Prune(now.Add(time.Minute))
	if n := s.State().Keys; n != 1 {
		t.Errorf("%d keys after pruning", n)
	}
}
