package configurer

import (
	"slices"
	"testing"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Guards against lost searchers that are in use for good, and spread, because an answer of an earlier epoch came late.
func TestKeysOfAnEarlierEpochAreNotAdded(t *testing.T) {
	for name, offer := range map[string]func(*Store, time.Time, modeler.Position, []Value) Result{
		"read": (*Store).Replace, "pulled": (*Store).Offer,
	} {
		now := time.Now()
		s, peer := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour)), NewStore(WithDecode(decodeEntry))
		s.Offer(now, in(1, 370), nil)
		s.Replace(now, in(2, 360), nil)
		peer.Replace(now, in(2, 360), nil)
		offer(s, now, in(1, 374), []Value{{"servers/lost", in(1, 374), []byte("ready 1 1")}})
		if n, _ := countRegistrations(s); n != 0 {
			t.Errorf("%s: %d searchers ready from an epoch that is over, want 0", name, n)
		}
		peer.Apply(now, s.Delta(peer.Head()))
		if n, _ := countRegistrations(peer); n != 0 {
			t.Errorf("%s: %d searchers ready at a peer from an epoch that is over, want 0", name, n)
		}
	}
}

// Guards against searchers that get requests again because the time for a copied registration runs from an earlier return.
func TestCopiedRegistrationWaitsForLapseLimitFromTheLastReturn(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
	s.Offer(now, in(1, 1), []Value{{"servers/a", in(1, 1), []byte("ready 1 5")}})
	s.Offer(now, in(1, 2), []Value{{"servers/a", in(1, 2), []byte("draining 1 9")}})
	s.Replace(now, in(2, 1), []Value{{"servers/a", in(2, 1), []byte("ready 1 5")}})
	s.Replace(now.Add(LapseLimit-time.Second), in(3, 1), []Value{{"servers/a", in(3, 1), []byte("ready 1 5")}})
	s.ReleaseCopied(now.Add(LapseLimit))
	if n, _ := countRegistrations(s); n != 0 {
		t.Errorf("%d searchers ready a second after the last return, want 0: the store cannot have removed the entry yet", n)
	}
}

// Guards against searchers that get requests again while the store, which would have removed their entries, is away.
func TestCopiedRegistrationIsNotReleasedWhileTheStoreIsAway(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour), WithConfirmedAt(func() time.Time { return now }))
	s.Offer(now, in(1, 1), []Value{{"servers/a", in(1, 1), []byte("ready 1 5")}})
	s.Offer(now, in(1, 2), []Value{{"servers/a", in(1, 2), []byte("draining 1 9")}})
	s.Replace(now, in(2, 1), []Value{{"servers/a", in(2, 1), []byte("ready 1 5")}})
	s.ReleaseCopied(now.Add(LapseLimit))
	if n, _ := countRegistrations(s); n != 0 {
		t.Errorf("%d searchers ready, want 0: nothing is known of the store since its return", n)
	}
}

// Guards against refusals after two returns in a row: the searchers have the time to write again from the last one.
func TestRegistrationsThatTwoEpochsLackAreHeldFromTheLast(t *testing.T) {
	const hold = time.Minute
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(hold, time.Hour))
	s.Offer(now.Add(-2*hold), in(1, 9), []Value{{"servers/a", in(1, 9), []byte("ready 1 5")}})
	s.Replace(now.Add(-hold-time.Second), in(2, 7), nil)
	s.Replace(now.Add(-hold/2), in(3, 6), nil)
	if _, leaving := countRegistrations(s); leaving != 1 {
		t.Errorf("%d searchers held half a hold after the last return, want 1", leaving)
	}
}

// Guards against a searcher that is used again at VMs that learned of its removal together with the epoch.
func TestRemovalThatComesWithALaterEpochIsTheLastWord(t *testing.T) {
	now := time.Now()
	reader, other := NewStore(WithDecode(decodeEntry)), NewStore(WithDecode(decodeEntry))
	ready := []byte("ready 1 5")
	for _, s := range []*Store{reader, other} {
		s.Offer(now, in(1, 5), []Value{{"servers/a", in(1, 3), ready}})
	}
	reader.Replace(now, in(2, 4), []Value{{"servers/a", in(2, 3), ready}})
	reader.Offer(now, in(2, 5), []Value{{"servers/a", in(2, 5), nil}})
	other.Apply(now, reader.Delta(other.Head()))
	var got []int
	for _, s := range []*Store{reader, other} {
		s.Replace(now, in(3, 4), []Value{{"servers/a", in(3, 3), ready}})
		n, _ := countRegistrations(s)
		got = append(got, n)
	}
	if !slices.Equal(got, []int{0, 0}) {
		t.Errorf("%v searchers ready at the VM that read the removal and at the one that pulled it, want none", got)
	}
}

// Guards against a warm searcher that counts as cold again because its copied registration is put in force later.
func TestReleasedRegistrationIsNotReceivedAnew(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
	s.Offer(now, in(1, 2), []Value{{"servers/a", in(1, 2), []byte("ready 1 7")}})
	s.Replace(now.Add(time.Second), in(2, 1), []Value{{"servers/a", in(2, 1), []byte("ready 1 5")}})
	s.ReleaseCopied(now.Add(time.Second + LapseLimit))
	_, configurations := s.InForce()
	if got := configurations[0].Registrations[0].ReceivedAt; got.After(now.Add(time.Second)) {
		t.Errorf("the registration counts as received %v after the copy came, want when it came at the latest", got.Sub(now.Add(time.Second)))
	}
}

// Guards against a reader's guess that a searcher left, made from what the later epoch lacks, which its peers take for the searcher's word.
func TestRemovalsThatAPeerInferredSayNothing(t *testing.T) {
	now := time.Now()
	first, second := NewStore(WithDecode(decodeEntry)), NewStore(WithDecode(decodeEntry))
	ready := []byte("ready 1 5")
	for i, s := range []*Store{first, second} {
		s.Offer(now, in(1, 9), []Value{{"servers/a", in(1, 9), ready}})
		s.Replace(now, in(2, 5+i), nil)
	}
	if res := first.Apply(now, second.Delta(first.Head())); res.Changed() {
		t.Errorf("result %+v for the removal of a key that is missing already, want no change", res)
	}
	first.Replace(now, in(3, 9), []Value{{"servers/a", in(3, 9), ready}})
	if n, _ := countRegistrations(first); n != 1 {
		t.Errorf("%d searchers ready, want the one that never said that it leaves", n)
	}
}

// Guards against registrations that are changed while a view is built of them.
func TestCopiedRegistrationsAreReleasedBesideReaders(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
	text := []byte("ready 1 5")
	s.Offer(now, in(1, 1), []Value{{"servers/a", in(1, 1), text}})
	s.Offer(now, in(1, 2), []Value{{"servers/a", in(1, 2), []byte("draining 1 9")}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for epoch := 2; epoch < 500; epoch++ {
			s.Replace(now, in(epoch, 1), []Value{{"servers/a", in(epoch, 1), text}})
			s.ReleaseCopied(now.Add(LapseLimit))
			s.Offer(now, in(epoch, 2), []Value{{"servers/a", in(epoch, 2), []byte("draining 1 9")}})
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			countRegistrations(s)
			_ = s.State()
			_ = s.Delta(in(1, 1))
		}
	}
}

// Guards against a searcher that counts as gone because one later epoch lacked it, when the next one has it.
func TestSearcherThatOneEpochLacksHasNotLeft(t *testing.T) {
	now := time.Now()
	s := NewStore(WithDecode(decodeEntry), WithHold(time.Minute, time.Hour))
	ready := []byte("ready 1 5")
	s.Offer(now, in(1, 9), []Value{{"servers/a", in(1, 9), ready}})
	s.Replace(now, in(2, 5), nil)
	s.Replace(now, in(3, 9), []Value{{"servers/a", in(3, 9), ready}})
	if n, _ := countRegistrations(s); n != 1 {
		t.Errorf("%d searchers ready, want 1", n)
	}
}
