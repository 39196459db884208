package configurer

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// decodeEntry decodes a state, the second of a start and a sequence as a registration.
func decodeEntry(key string, text []byte) (modeler.Configuration, error) {
	if len(text) == 0 {
		return modeler.Configuration{}, nil
	}
	var state string
	var start int64
	r := modeler.Registration{Searcher: modeler.Searcher{Name: modeler.SearcherName(key)}}
	if _, err := fmt.Sscan(string(text), &state, &start, &r.Sequence); err != nil {
		return modeler.Configuration{}, err
	}
	r.Searcher.StartedAt, r.Leaving = time.Unix(start, 0), state == "draining"
	return modeler.Configuration{Registrations: []modeler.Registration{r}}, nil
}

// Guards against searchers that are in use, or not, because a later epoch has what they registered before their last word.
func TestCopiedRegistrationsDoNotGoBeforeTheLastWord(t *testing.T) {
	const ready, draining, removed = "ready 1 5", "draining 1 9", ""
	tests := []struct {
		name   string
		texts  []string // in epoch 1
		copied string   // in epoch 2
		next   []string // written in epoch 2 after that
		ready  int      // searchers that are ready, within LapseLimit
		later  int      // searchers that are ready once it is over
	}{
		{"drained", []string{ready, draining}, ready, nil, 0, 1},
		{"drained, written again", []string{ready, draining}, ready, []string{"draining 1 10"}, 0, 0},
		{"drained and removed", []string{ready, draining, removed}, ready, nil, 0, 1},
		{"removed", []string{ready, removed}, ready, nil, 0, 1},
		{"removed, lapsed again", []string{ready, removed}, ready, []string{removed}, 0, 0},
		{"removed, written again by the searcher", []string{ready, removed}, ready, []string{"ready 1 6"}, 1, 1},
		{"removed, written by the searcher before the list", []string{ready, removed}, "ready 1 6", nil, 1, 1},
		{"drained, started again under its id", []string{ready, draining}, "ready 2 1", nil, 1, 1},
		{"ready all the time", []string{ready, "ready 1 7"}, ready, nil, 1, 1},
		{"started again, drained before", []string{ready, draining, "ready 2 1"}, draining, nil, 1, 0},
		{"started again, drained before and written again", []string{ready, draining, "ready 2 1"}, draining, []string{"ready 2 2"}, 1, 1},
		{"started again, drained since", []string{ready, "ready 2 1", "draining 2 2"}, ready, nil, 0, 1},
		{"removed and registered again", []string{ready, removed, "ready 1 8"}, ready, nil, 1, 1},
		{"still draining", []string{ready, draining}, draining, nil, 0, 0},
	}
	for _, tt := range tests {
		now := time.Now()
		s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
		for i, text := range tt.texts {
			s.Offer(now, in(1, i+1), []Value{{"servers/a", in(1, i+1), []byte(text)}})
		}
		s.Replace(now, in(2, 1), []Value{{"servers/a", in(2, 1), []byte(tt.copied)}})
		for i, text := range tt.next {
			s.Offer(now, in(2, i+2), []Value{{"servers/a", in(2, i+2), []byte(text)}})
		}
		s.ReleaseCopied(now.Add(LapseLimit - 1))
		if n, _ := countRegistrations(s); n != tt.ready {
			t.Errorf("%s: %d searchers ready, want %d", tt.name, n, tt.ready)
		}
		s.ReleaseCopied(now.Add(LapseLimit))
		if n, _ := countRegistrations(s); n != tt.later {
			t.Errorf("%s: %d searchers ready after LapseLimit, want %d", tt.name, n, tt.later)
		}
	}
}

// Guards against requests to the address of an earlier start because a later epoch has the registration of then.
func TestCopiedRegistrationOfAnEarlierStartIsNotInForce(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
	s.Offer(now, in(1, 2), []Value{{"servers/a", in(1, 2), []byte("ready 2 1")}})
	s.Replace(now.Add(time.Second), in(2, 1), []Value{{"servers/a", in(2, 1), []byte("ready 1 5")}})
	start := func() int64 {
		_, configurations := s.InForce()
		return configurations[0].Registrations[0].Searcher.StartedAt.Unix()
	}
	if got := start(); got != 2 {
		t.Errorf("the registration of start %d is in force, want that of start 2", got)
	}
	s.ReleaseCopied(now.Add(time.Second + LapseLimit))
	if got := start(); got != 1 {
		t.Errorf("the registration of start %d is in force, want what the store still has", got)
	}
}
