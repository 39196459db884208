package parser

import (
	"strings"
	"testing"

	"github.com/pistachiogap/pistachiogap/modeler"
)

type sample struct {
	Name  string           `json:"name"`
	Wait  modeler.Duration `json:"wait"`
	Items []item           `json:"items"`
}

type item struct {
	Count int `json:"count"`
}

func (s *sample) Check() modeler.Problems {
	var p modeler.Problems
	p.CheckName(s.Name, "name")
	for i, it := range s.Items {
		if it.Count < 0 {
			p.Add("must not be negative", "items", i, "count")
		}
	}
	return p
}

func TestDecode(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid, with comments and trailing commas", "// c\n{\"name\": \"a\", /* x */ \"wait\": \"5ms\", \"items\": [{\"count\": 1},],}", nil},
		{"not JSON", "{\n  \"name\" 1}", []string{"f:2:10: "}},
		{"unknown field", "{\"name\": \"a\",\n  \"nmae\": 1}", []string{`f:2:3: unknown field "nmae"`}},
		{"field twice", "{\"name\": \"a\", \"name\": \"b\"}", []string{`f:1:15: field "name" stands twice`}},
		{"wrong type", "{\"name\": 7}", []string{"f:1:10: /name is not a string"}},
		{"bad duration", "{\"name\": \"a\",\n\n \"wait\": \"soon\"}", []string{`f:3:10: /wait "soon" is not a duration`}},
		{"failed check", "{\"name\": \"a\", \"items\": [\n{\"count\": -1}]}", []string{"f:2:11: /items/0/count must not be negative"}},
		{"every fault at once", "{\"name\": 7,\n\"x\": 1,\n\"wait\": 3}", []string{"f:1:10", "f:2:1", "f:3:9"}},
		{"missing field", "{}", []string{"f:1:1: /name is empty"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode[sample]("f", []byte(tt.text))
			if err == nil {
				if len(tt.want) > 0 {
					t.Fatalf("Decode reported no fault, want %v", tt.want)
				}
				return
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(tt.want) {
				t.Fatalf("Decode reported faults %q, want %q", lines, tt.want)
			}
			for i, w := range tt.want {
				if !strings.HasPrefix(lines[i], w) {
					t.Errorf("fault %q does not start with %q", lines[i], w)
				}
			}
		})
	}
}

func TestDecodeStrict(t *testing.T) {
	for _, bad := range []string{``, `{`, `{"name":"a"}{"name":"b"}`, `{"name":"a","other":1}`, `{"name":"?"}`, `{"name":"a","name":"b"}`} {
		if _, err := DecodeStrict[sample]([]byte(bad)); err == nil {
			t.Errorf("DecodeStrict accepted the faulty document %q", bad)
		}
	}
	if v, err := DecodeStrict[sample]([]byte(`{"name":"a"}`)); err != nil || v.Name != "a" {
		t.Errorf("DecodeStrict of a valid document returned %+v and error %v", v, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "items": [{"count": 1}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := Decode[sample]("f", b)
		if err == nil && len(v.Check()) > 0 {
			t.Error("Decode accepted a value whose Check reports problems")
		}
	})
}
