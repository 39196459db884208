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

// Duration returns the option as a duration, or def if it is missing or cannot be parsed.
func (o Options) Duration(name string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(o[name]); err == nil {
		return d
	}
	return def
}

// Float returns the option as a number, or def if it is missing or cannot be parsed.
func (o Options) Float(name string, def float64) float64 {
	if f, err := strconv.ParseFloat(o[name], 64); err == nil {
		return f
	}
	return def
}

// Text returns the option, or def if it is missing.
func (o Options) Text(name, def string) string {
	if s, ok := o[name]; ok {
		return s
	}
	return def
}
