package configurer

import "github.com/pistachiogap/pistachiogap/modeler"

// Refusal names a value that failed the content check, or was accepted although the tier ignores it, and the reason.
type Refusal struct {
	Key      string           `json:"key"`
	Epoch    modeler.Epoch    `json:"epoch"`
	Revision modeler.Revision `json:"revision"`
	Reason   string           `json:"reason"`
}

// Result says what became of the values that were offered to a Store.
type Result struct {
	Refused  []Refusal
	Added    int // values of keys that had none
	Replaced int
	Removed  int // keys that were deleted
	Older    int // values that were not used because the Store held later ones
	Unused   Unused
	Before   modeler.Position // head of the Store before the offer
	After    modeler.Position // head of the Store after the offer
}

// Unused is the first value in an offer that was older than the one that the Store held.
type Unused struct {
	Key     string
	Offered modeler.Position
	Held    modeler.Position
}

// Changed reports whether the configuration in force changed.
func (r *Result) Changed() bool { return r.Added+r.Replaced+r.Removed > 0 }

// NewEpoch reports whether the offer replaced the values of an earlier epoch.
func (r *Result) NewEpoch() bool { return !r.Before.IsZero() && r.After.Epoch > r.Before.Epoch }

func newRefusal(v Value, reason string) Refusal {
	return Refusal{v.Key, v.Position.Epoch, v.Position.Revision, reason}
}

func (r *Result) addRefusal(v Value, reason string) {
	r.Refused = append(r.Refused, newRefusal(v, reason))
}

func (r *Result) countAccepted(hadText, hasText bool) {
	switch {
	case hadText && !hasText:
		r.Removed++
	case hadText:
		r.Replaced++
	default:
		r.Added++
	}
}

func (r *Result) countUnused(v Value, held modeler.Position) {
	if !held.After(v.Position) {
		return // the value is known already
	}
	if r.Older == 0 {
		r.Unused = Unused{v.Key, v.Position, held}
	}
	r.Older++
}
