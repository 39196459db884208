package faker

import (
	"strconv"
	"strings"
	"time"
)

// Options are the name=value arguments of a verb.
type Options map[string]string

// ParseOptions splits the arguments of a verb into words and options.
func ParseOptions(args []string) (words []string, o Options) {
	o = Options{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			o[name] = value
		} else {
			words = append(words, a)
		}
	}
	return words, o
}

// Duration returns an option that is a duration.
func (o Options) Duration(name string, v time.Duration) time.Duration {
	if d, err := time.ParseDuration(o[name]); err == nil {
		return d
	}
	return v
}

// Float returns an option that is a number.
func (o Options) Float(name string, v float64) float64 {
	if f, err := strconv.ParseFloat(o[name], 64); err == nil {
		return f
	}
	return v
}

// Text returns an option that is text.
func (o Options) Text(name, v string) string {
	if s, ok := o[name]; ok {
		return s
	}
	return v
}
