package configurer

import (
	"slices"
	"time"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Delta is what a Store has after a position.
type Delta struct {
	Head   modeler.Position
	Values []Value
	Whole  bool // whether Values are all that the Store has
}

// Delta returns the head and all values, accepted and refused, of a later position than since, and those in force that the
// head's epoch lacks. If the store may lack a deletion after since, these are all values; of the deletions it returns those
// that the receiver can't infer.
func (s *Store) Delta(since modeler.Position) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Delta{Head: s.head, Whole: s.completeFrom.After(since)}
	for _, e := range s.entries {
		v := e.acceptedValue
		inForce := len(v.Text) > 0
		isNews := v.Position.After(since) && (inForce || v.Position.After(s.completeFrom))
		if isNews || (inForce && (out.Whole || v.Position.Epoch < s.head.Epoch)) {
			out.Values = append(out.Values, v)
		}
		refused := e.refusedValue
		if refused.Position.After(since) || (out.Whole && refused.Position.After(v.Position)) {
			out.Values = append(out.Values, refused)
		}
	}
	slices.SortFunc(out.Values, func(a, b Value) int { return a.Position.Compare(b.Position) })
	return out
}

// Apply accepts or refuses the values that another Store has after the head of this one; see Offer and Replace.
func (s *Store) Apply(now time.Time, d Delta) Result {
	return s.accept(now, d.Head, d.Values, d.Whole)
}
