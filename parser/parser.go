package parser

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	strict "github.com/go-json-experiment/json"
	"github.com/tailscale/hujson"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Checker is a document that names its own faults.
type Checker interface{ Check() modeler.Problems }

// Fault is one fault of a file.
type Fault struct {
	File   string
	Line   int
	Column int
	Reason string
}

// Faults are all faults of one file.
type Faults []Fault

// Error writes a line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", x.File, x.Line, x.Column, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Decode reads JSON with comments into a T and checks it; the error is a Faults.
func Decode[T any, P interface {
	*T
	Checker
}](file string, b []byte,
) (T, error) {
	var v T
	root, err := hujson.Parse(b)
	if err != nil {
		return v, Faults{syntaxFault(file, err)}
	}
	w := walker{file: file, text: b}
	w.walk(root, reflect.TypeFor[T](), "")
	if len(w.faults) > 0 {
		return v, w.faults
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), &v); err != nil {
		return v, Faults{{file, 1, 1, err.Error()}}
	}
	original, _ := hujson.Parse(b)
	for _, p := range P(&v).Check() {
		w.fault(locate(original, p.Pointer), p.Pointer+" "+p.Reason)
	}
	if len(w.faults) > 0 {
		return v, w.faults
	}
	return v, nil
}

// DecodeStrict reads plain JSON from the wire into a T and checks it.
func DecodeStrict[T any, P interface {
	*T
	Checker
}](b []byte,
) (T, error) {
	var v T
	if err := strict.Unmarshal(b, &v, strict.RejectUnknownMembers(true)); err != nil {
		return v, err
	}
	if p := P(&v).Check(); len(p) > 0 {
		return v, Faults{{"wire", 1, 1, p[0].Pointer + " " + p[0].Reason}}
	}
	return v, nil
}

func syntaxFault(file string, err error) Fault {
	f := Fault{File: file, Line: 1, Column: 1, Reason: err.Error()}
	rest, ok := strings.CutPrefix(f.Reason, "hujson: line ")
	if !ok {
		return f
	}
	place, reason, _ := strings.Cut(rest, ": ")
	line, column, _ := strings.Cut(place, ", column ")
	f.Line, _ = strconv.Atoi(line)
	f.Column, _ = strconv.Atoi(column)
	f.Reason = reason
	return f
}

// locate returns the offset of the deepest value on the pointer's path that exists.
func locate(root hujson.Value, pointer string) int {
	for pointer != "" {
		if v := root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return root.StartOffset
}

type walker struct {
	file   string
	text   []byte
	faults Faults
}

func (w *walker) fault(offset int, reason string) {
	before := w.text[:min(offset, len(w.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	w.faults = append(w.faults, Fault{w.file, line, column, strings.TrimSpace(reason)})
}

func (w *walker) walk(v hujson.Value, t reflect.Type, pointer string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if decodesItself(t) {
		w.leaf(v, t, pointer)
		return
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		w.object(v, x, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			w.fault(v.StartOffset, pointer+" must not be a list")
			return
		}
		for i, e := range x.Elements {
			w.walk(e, t.Elem(), pointer+"/"+strconv.Itoa(i))
		}
	default:
		w.leaf(v, t, pointer)
	}
}

func (w *walker) object(v hujson.Value, x *hujson.Object, t reflect.Type, pointer string) {
	if t.Kind() == reflect.Map {
		for _, m := range x.Members {
			w.walk(m.Value, t.Elem(), pointer+"/"+m.Name.Value.(hujson.Literal).String())
		}
		return
	}
	if t.Kind() != reflect.Struct {
		w.fault(v.StartOffset, pointer+" must not be an object")
		return
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for _, m := range x.Members {
		name := m.Name.Value.(hujson.Literal).String()
		ft, ok := fields[name]
		switch {
		case !ok:
			w.fault(m.Name.StartOffset, "unknown field "+strconv.Quote(name))
		case seen[name]:
			w.fault(m.Name.StartOffset, "field "+strconv.Quote(name)+" stands twice")
		default:
			w.walk(m.Value, ft, pointer+"/"+name)
		}
		seen[name] = true
	}
}

func (w *walker) leaf(v hujson.Value, t reflect.Type, pointer string) {
	c := v.Clone()
	c.Standardize()
	err := json.Unmarshal(c.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		w.fault(v.StartOffset, fmt.Sprintf("%s is not a %s", pointer, t.Kind()))
		return
	}
	w.fault(v.StartOffset, pointer+" "+err.Error())
}

func decodesItself(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(reflect.TypeFor[json.Unmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	m := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			m[name] = f.Type
		}
	}
	return m
}
