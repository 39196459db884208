package faker

import (
	"strconv"

	"github.com/pkg/errors"
)

// verbExpect compares a metric with a value: expect METRIC OP VALUE, with OP one of is, not, below, above, at-most,
// at-least.
func verbExpect(s *Scenario, words []string, o Options) error {
	if len(words) != 3 {
		return errors.New("usage: expect METRIC OP VALUE")
	}
	got, note, err := s.metric(words[0], o)
	if err != nil {
		return err
	}
	want, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return err
	}
	if !compare(got, words[1], want) {
		return errors.Errorf("%s: got %g, want %s %g %s", words[0], got, words[1], want, note)
	}
	return nil
}

func compare(a float64, op string, b float64) bool {
	switch op {
	case "is":
		return a == b
	case "not":
		return a != b
	case "below":
		return a < b
	case "above":
		return a > b
	case "at-most":
		return a <= b
	case "at-least":
		return a >= b
	}
	return false
}
