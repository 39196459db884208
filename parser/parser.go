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

// Checker is a document that can check its own values.
type Checker interface{ Check() modeler.Problems }

// Fault is one thing wrong in a file, with its place.
type Fault struct {
	File   string
	Line   int
	Column int
	Reason string
}

// Faults holds all faults of one file.
type Faults []Fault

// Error returns a line "file:line:column: reason" for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", fault.File, fault.Line, fault.Column, fault.Reason)
	}
	return strings.Join(lines, "\n")
}

// Decode decodes JSON with comments into a T and checks it. An error is of type Faults. It holds the first syntax error;
// without one, all unknown or repeated fields and all values of a wrong type; without these, all problems that Check
// returns.
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
	w.checkValue(root, reflect.TypeFor[T](), "")
	if len(w.faults) > 0 {
		return v, w.faults
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), &v); err != nil {
		return v, Faults{{file, 1, 1, err.Error()}}
	}
	original, _ := hujson.Parse(b)
	for _, p := range P(&v).Check() {
		w.addFault(offsetOf(original, p.Pointer), p.Pointer+" "+p.Reason)
	}
	if len(w.faults) > 0 {
		return v, w.faults
	}
	return v, nil
}

// DecodeStrict decodes plain JSON, such as a message from the network, into a T and checks it. It reports only the first
// problem. The fault for a problem that Check returns always has the file name "wire", line 1 and column 1.
// Package strict itself refuses unknown and repeated fields, which Decode finds with a walker.
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

// syntaxFault converts an error of hujson, whose text starts with "hujson: line N, column N: ", into a fault.
func syntaxFault(file string, err error) Fault {
	f := Fault{File: file, Line: 1, Column: 1, Reason: err.Error()}
	rest, ok := strings.CutPrefix(f.Reason, "hujson: line ")
	if !ok {
		return f
	}
	position, reason, _ := strings.Cut(rest, ": ")
	line, column, _ := strings.Cut(position, ", column ")
	f.Line, _ = strconv.Atoi(line)
	f.Column, _ = strconv.Atoi(column)
	f.Reason = reason
	return f
}

// offsetOf returns the offset of the value at a JSON pointer, or of its closest ancestor that exists.
func offsetOf(root hujson.Value, pointer string) int {
	for pointer != "" {
		if v := root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return root.StartOffset
}

// walker compares the syntax tree of a document with the type that it is decoded into, and collects the faults.
type walker struct {
	file   string
	text   []byte
	faults Faults
}

func (w *walker) addFault(offset int, reason string) {
	before := w.text[:min(offset, len(w.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	w.faults = append(w.faults, Fault{w.file, line, column, strings.TrimSpace(reason)})
}

func (w *walker) checkValue(v hujson.Value, t reflect.Type, pointer string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if hasOwnDecoder(t) {
		w.checkLeaf(v, t, pointer)
		return
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		w.checkObject(v, x, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			w.addFault(v.StartOffset, pointer+" must not be a list")
			return
		}
		for i, e := range x.Elements {
			w.checkValue(e, t.Elem(), pointer+"/"+strconv.Itoa(i))
		}
	default:
		w.checkLeaf(v, t, pointer)
	}
}

func (w *walker) checkObject(v hujson.Value, object *hujson.Object, t reflect.Type, pointer string) {
	if t.Kind() == reflect.Map {
		for _, m := range object.Members {
			w.checkValue(m.Value, t.Elem(), pointer+"/"+m.Name.Value.(hujson.Literal).String())
		}
		return
	}
	if t.Kind() != reflect.Struct {
		w.addFault(v.StartOffset, pointer+" must not be an object")
		return
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		ft, ok := fields[name]
		switch {
		case !ok:
			w.addFault(m.Name.StartOffset, "unknown field "+strconv.Quote(name))
		case seen[name]:
			w.addFault(m.Name.StartOffset, "field "+strconv.Quote(name)+" stands twice")
		default:
			w.checkValue(m.Value, ft, pointer+"/"+name)
		}
		seen[name] = true
	}
}

// checkLeaf checks a value by decoding it on its own.
func (w *walker) checkLeaf(v hujson.Value, t reflect.Type, pointer string) {
	c := v.Clone()
	c.Standardize()
	err := json.Unmarshal(c.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		w.addFault(v.StartOffset, fmt.Sprintf("%s is not a %s", pointer, t.Kind()))
		return
	}
	w.addFault(v.StartOffset, pointer+" "+err.Error())
}

// hasOwnDecoder reports whether the type decodes itself from JSON or text.
func hasOwnDecoder(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(reflect.TypeFor[json.Unmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// fieldTypes returns the types of a struct's fields by their JSON names.
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
