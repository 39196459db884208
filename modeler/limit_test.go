package modeler

import "testing"

func TestParseRateLimit(t *testing.T) {
	tests := []struct {
		values []string
		want   RateLimit
	}{
		{nil, RateLimit{}},
		{[]string{"32.7"}, RateLimit{Stated, 32.7}},
		{[]string{" 5 "}, RateLimit{Stated, 5}},
		{[]string{"0"}, RateLimit{Stated, 0}},
		{[]string{"1e300"}, RateLimit{Stated, 1e300}},
		{[]string{"40", "30"}, RateLimit{Stated, 30}},
		{[]string{"", "30"}, RateLimit{Stated, 30}},
		{[]string{""}, RateLimit{State: Unreadable}},
		{[]string{"-1"}, RateLimit{State: Unreadable}},
		{[]string{"NaN"}, RateLimit{State: Unreadable}},
		{[]string{"+Inf"}, RateLimit{State: Unreadable}},
		{[]string{"1e999"}, RateLimit{State: Unreadable}},
		{[]string{"many"}, RateLimit{State: Unreadable}},
	}
	for _, tt := range tests {
		if got := ParseRateLimit(tt.values); got != tt.want {
			t.Errorf("ParseRateLimit(%q) = %+v, want %+v", tt.values, got, tt.want)
		}
	}
}
