package decoder

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Positions finds a text's values, and so their positions, by paths such as
// services/2/slots.
type Positions struct {
	root Node
}

// Decode fills the struct that target points to, by its json tags. A value of another
// type than its field and an unknown or repeated key are recorded as problems of the
// document; the field stays zero or keeps the first value. Decode returns the positions of the values.
func (d *Document) Decode(target any) Positions {
	decode("", d.Root(), reflect.ValueOf(target).Elem())
	return Positions{root: d.Root()}
}

// At returns the value at path or the innermost existing value around it, so
// that a missing value is reported at the object that lacks it.
func (p Positions) At(path string) Node {
	n, _ := p.root.walk(path)
	return n
}

// Has reports whether the text has a value at path.
func (p Positions) Has(path string) bool {
	_, found := p.root.walk(path)
	return found
}

// decode decodes n into v; path is n's path.
func decode(path string, n Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		decodeStruct(path, n, v)
	case reflect.Slice:
		decodeSlice(path, n, v)
	case reflect.Map:
		decodeMap(path, n, v)
	default:
		decodeScalar(path, n, v)
	}
}

func decodeStruct(path string, n Node, v reflect.Value) {
	if n.Kind() != KindObject {
		n.AddKindProblem(path, "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool)
	for _, m := range n.Members() {
		i, known := fields[m.Name()]
		switch {
		case !known:
			unknownKey(m, fields)
		case seen[m.Name()]:
			repeatedKey(m)
		default:
			decode(join(path, m.Name()), m.Value(), v.Field(i))
		}
		seen[m.Name()] = true
	}
}

func decodeSlice(path string, n Node, v reflect.Value) {
	if n.Kind() != KindArray {
		n.AddKindProblem(path, "a list")
		return
	}
	elements := n.Elements()
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, e := range elements {
		decode(join(path, strconv.Itoa(i)), e, v.Index(i))
	}
}

func decodeMap(path string, n Node, v reflect.Value) {
	if n.Kind() != KindObject {
		n.AddKindProblem(path, "an object")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, m := range n.Members() {
		key := reflect.ValueOf(m.Name()).Convert(v.Type().Key())
		if v.MapIndex(key).IsValid() {
			repeatedKey(m)
			continue
		}
		element := reflect.New(v.Type().Elem()).Elem()
		decode(join(path, m.Name()), m.Value(), element)
		v.SetMapIndex(key, element)
	}
}

func decodeScalar(path string, n Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		s, ok := n.Text()
		if !ok {
			n.AddKindProblem(path, "a string")
		}
		v.SetString(s)
	case reflect.Int:
		i, ok := n.Int()
		if !ok {
			n.AddKindProblem(path, "a whole number")
		}
		v.SetInt(i)
	case reflect.Float64:
		f, ok := n.Float()
		if !ok {
			n.AddKindProblem(path, "a number")
		}
		v.SetFloat(f)
	case reflect.Bool:
		b, ok := n.Bool()
		if !ok {
			n.AddKindProblem(path, "true or false")
		}
		v.SetBool(b)
	default:
		panic(fmt.Sprintf("decoder: no support for %s", v.Type()))
	}
}

// fieldCache caches the results of fieldsOf by type.
var fieldCache sync.Map

// fieldsOf maps the names in the json tags of a struct's fields to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
	if known, ok := fieldCache.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	fieldCache.Store(t, fields)
	return fields
}

func unknownKey(m Member, fields map[string]int) {
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	slices.Sort(known)
	m.Key().AddProblem(fmt.Sprintf("unknown key %q", m.Name()),
		"remove it or correct it; known here: "+strings.Join(known, ", "))
}

func repeatedKey(m Member) {
	m.Key().AddProblem(fmt.Sprintf("key %q is given twice", m.Name()), "remove one of the two")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
