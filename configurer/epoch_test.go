package configurer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// in returns the position of a revision in an epoch.
func in(epoch, rev int) modeler.Position {
	return modeler.Position{Epoch: modeler.Epoch(epoch), Revision: modeler.Revision(rev)}
}

// teamsInForce returns the names of the teams in force, sorted by the keys of their values.
func teamsInForce(s *Store) []string {
	_, configurations := s.InForce()
	var out []string
	for _, c := range configurations {
		for _, t := range c.Teams {
			out = append(out, string(t.Name))
		}
	}
	return out
}

// of returns the value as the store has it in an epoch.
func of(epoch int, v Value) Value {
	v.Position.Epoch = modeler.Epoch(epoch)
	return v
}

// Guards against values that stay in force because the store, back from an older copy, gives out lower revisions.
func TestLaterEpochReplacesAllValues(t *testing.T) {
	for name, offer := range map[string]func(*Store, time.Time, modeler.Position, []Value) Result{
		"read": (*Store).Replace, "pulled": (*Store).Offer,
	} {
		s := NewStore()
		s.Offer(now, at(374), []Value{value("a", 370, "a-old"), value("b", 372, "b-lost"), value("c", 100, "c-same")})
		res := offer(s, now, in(1, 360), []Value{of(1, value("a", 355, "a-new")), of(1, value("c", 100, "c-same"))})
		if got := teamsInForce(s); !slices.Equal(got, []string{"a-new", "c-same"}) {
			t.Errorf("%s: %q in force, want those of the later epoch", name, got)
		}
		if !res.NewEpoch() || res.Replaced != 1 || res.Removed != 1 || res.Added != 0 || s.Head() != in(1, 360) {
			t.Errorf("%s: head %v, result %+v; want one value replaced, one removed, none added at the later epoch's head", name, s.Head(), res)
		}
		s.Offer(now, at(380), []Value{value("a", 376, "a-of-the-earlier-epoch")})
		s.Replace(now, at(381), nil)
		if got := teamsInForce(s); !slices.Equal(got, []string{"a-new", "c-same"}) || s.Head() != in(1, 360) {
			t.Errorf("%s: %q in force at %v after values of an earlier epoch, want them ignored", name, got, s.Head())
		}
	}
}

// Guards against a discarded history that is taken for news: the list has what is held.
func TestListOfTheSameEpochIsNoNews(t *testing.T) {
	s := NewStore(WithDecode(decodeLine), WithHold(time.Minute, time.Second))
	values := []Value{{"servers/a", in(1, 3), []byte("ready")}, {"servers/b", in(1, 4), []byte("leaving")}}
	s.Offer(now, in(1, 5), values)
	if res := s.Replace(now.Add(time.Second), in(1, 5), values); res.Changed() || res.NewEpoch() || res.Older > 0 {
		t.Errorf("result %+v for the values that are held, want no change", res)
	}
	s.Replace(now.Add(time.Second), in(2, 4), []Value{of(2, values[0]), of(2, values[1])})
	_, configurations := s.InForce()
	if r := configurations[0].Registrations[0]; !r.ReceivedAt.Equal(now) || r.Leaving {
		t.Errorf("registration %+v, want it as received before the later epoch, which has the same text", r)
	}
}

// Guards against refusals while the searchers that a later epoch lacks have not written their registrations again.
func TestRegistrationsThatALaterEpochLacksAreHeld(t *testing.T) {
	now := time.Now()
	const hold = time.Minute
	s := NewStore(WithDecode(decodeLine), WithHold(hold, time.Hour), WithConfirmedAt(func() time.Time { return now.Add(-2 * hold) }))
	s.Offer(now, in(1, 9), []Value{{"servers/a", in(1, 8), []byte("ready")}, {"servers/b", in(1, 9), []byte("leaving")}})
	s.Replace(now, in(2, 7), nil)
	if ready, leaving := countRegistrations(s); ready != 0 || leaving != 1 {
		t.Errorf("%d ready and %d leaving searchers, want the one that was ready held", ready, leaving)
	}
	s.Offer(now, in(2, 8), []Value{{"servers/a", in(2, 8), []byte("ready")}})
	if ready, leaving := countRegistrations(s); ready != 1 || leaving != 0 {
		t.Errorf("%d ready and %d leaving searchers after the registration was written again, want 1 ready", ready, leaving)
	}
}

// platformStore is a model of the platform's store: its changes since the start, of which a return loses the last.
type platformStore struct {
	epoch   int
	changes []Value
}

func (p *platformStore) head() modeler.Position {
	return modeler.Position{Epoch: modeler.Epoch(p.epoch), Revision: modeler.Revision(len(p.changes))}
}

// list returns all values in the current epoch.
func (p *platformStore) list() []Value {
	latest := map[string]Value{}
	for _, v := range p.changes {
		latest[v.Key] = of(p.epoch, v)
		if len(v.Text) == 0 {
			delete(latest, v.Key)
		}
	}
	var out []Value
	for _, v := range latest {
		out = append(out, v)
	}
	return out
}

// Guards against VMs that differ for good because one read an epoch from the store and another pulled it, or slept.
func TestStoresAgreeAfterReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platformStore{}
		vms := []*Store{NewStore(), NewStore(), NewStore()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			before := s.Head()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				v := value(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), len(p.changes)+1, fmt.Sprintf("team-%d", step))
				if rapid.Bool().Draw(t, "deleted") {
					v.Text = nil
				}
				p.changes = append(p.changes, v)
			case 1:
				p.epoch++
				p.changes = p.changes[:rapid.IntRange(0, len(p.changes)).Draw(t, "kept")]
			case 2:
				s.Replace(now, p.head(), p.list())
			case 3:
				s.Apply(now, vms[rapid.IntRange(0, 2).Draw(t, "peer")].Delta(s.Head()))
			}
			if rapid.IntRange(0, 3).Draw(t, "pruned") == 0 {
				s.Prune(now.Add(time.Second))
			}
			if before.After(s.Head()) {
				t.Fatalf("head went back from %v to %v", before, s.Head())
			}
		}
		p.changes = append(p.changes, value("d", len(p.changes)+1, "last"))
		want := NewStore()
		want.Replace(now, p.head(), p.list())
		vms[0].Replace(now, p.head(), p.list())
		for _, s := range vms {
			s.Apply(now, vms[0].Delta(s.Head()))
			if got := teamsInForce(s); !slices.Equal(got, teamsInForce(want)) {
				t.Fatalf("%q in force, want %q", got, teamsInForce(want))
			}
		}
	})
}

// decodeVersion decodes a text as one route named after it; its length is the version.
func decodeVersion(_ string, text []byte) (modeler.Configuration, error) {
	return modeler.Configuration{Version: uint64(len(text)), Teams: []modeler.Team{{Name: modeler.TeamName(text)}}}, nil
}

// Guards against a configuration that goes back because the platform has lost the newest one.
func TestVersionsDoNotGoBackBetweenEpochs(t *testing.T) {
	lost := Value{"k", in(1, 372), []byte("vvv")}
	copied := Value{"k", in(2, 350), []byte("vv")}
	running, started := NewStore(WithDecode(decodeVersion)), NewStore(WithDecode(decodeVersion))
	running.Offer(now, in(1, 374), []Value{lost})
	for _, s := range []*Store{running, started} {
		s.Replace(now, in(2, 351), []Value{copied})
	}
	if got := teamsInForce(running); !slices.Equal(got, []string{"vvv"}) || len(running.State().Refused) != 1 {
		t.Errorf("%q in force, %d refusals; want the later version, the other refused", got, len(running.State().Refused))
	}
	if res := running.Replace(now, in(2, 351), nil); res.Changed() {
		t.Error("the later version was deleted because the later epoch lacks it")
	}
	started.Apply(now, running.Delta(started.Head()))
	if got := teamsInForce(started); !slices.Equal(got, []string{"vvv"}) {
		t.Errorf("%q in force at a VM that started later, want the version that its peer has kept", got)
	}
	for _, s := range []*Store{running, started} {
		s.Offer(now, in(2, 360), []Value{{"k", in(2, 360), []byte("vvv")}})
		s.Offer(now, in(2, 361), []Value{{"k", in(2, 361), []byte("vvvv")}})
		if got := teamsInForce(s); !slices.Equal(got, []string{"vvvv"}) {
			t.Errorf("%q in force, want what the operator wrote last", got)
		}
	}
}

// Guards against a refusal that operators no longer see because a whole delta lacks the value that was refused.
func TestWholeDeltaHasTheRefusedValues(t *testing.T) {
	broken := Value{"a", at(2), []byte("{")}
	s, away := NewStore(), NewStore()
	for _, x := range []*Store{s, away} {
		x.Offer(now, at(3), []Value{broken, value("b", 3, "b")})
	}
	s.Replace(now, at(5), []Value{broken, value("b", 3, "b")})
	away.Apply(now, s.Delta(away.Head()))
	if n := len(away.State().Refused); n != 1 {
		t.Errorf("%d refusals after a whole delta, want the one of before", n)
	}
}
