package modeler

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration whose JSON form is text such as "40ms".
type Duration struct{ time.Duration }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler. A negative duration is an error.
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
