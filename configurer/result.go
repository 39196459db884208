package configurer

import "github.com/pistachiogap/pistachiogap/modeler"

// Refusal names a value that failed the content check, or was accepted although the tier ignores it, and the reason.
type Refusal struct {
	Key      string           `json:"key"`
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
}

// Unused is the first value in an offer that was older than the one that the Store held.
type Unused struct {
	Key     string
	Offered modeler.Revision
	Held    modeler.Revision
}

// Changed reports whether the configuration in force changed.
func (r *Result) Changed() bool { return r.Added+r.Replaced+r.Removed > 0 }

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

func (r *Result) countUnused(v Value, held modeler.Revision) {
	if v.Revision >= held {
		return // the value is known already
	}
	if r.Older == 0 {
		r.Unused = Unused{v.Key, v.Revision, held}
	}
	r.Older++
}
