package modeler

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written as text such as "40ms".
type Duration struct{ time.Duration }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads text such as "40ms"; negative durations are errors.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.New(`is not a duration such as "40ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < 0 {
		return errors.Errorf("%q is not a duration such as \"40ms\"", s)
	}
	d.Duration = v
	return nil
}
