package decoder

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Places maps the path of each value, such as "services/2/slots", to its node.
type Places map[string]Node

// Decode fills the struct that target points to, by its json tags. What
// doesn't fit becomes a problem of the document and stays zero. It returns
// where each value stands.
func (d *Document) Decode(target any) Places {
	places := make(Places)
	places.decode("", d.Root(), reflect.ValueOf(target).Elem())
	return places
}

// At finds the place of path or of the innermost value around it, so that
// something missing is reported at the object that lacks it.
func (p Places) At(path string) Node {
	for {
		if n, ok := p[path]; ok {
			return n
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return p[""]
		}
		path = path[:cut]
	}
}

// Has says whether the text gives path.
func (p Places) Has(path string) bool {
	_, ok := p[path]
	return ok
}

func (p Places) decode(path string, n Node, v reflect.Value) {
	p[path] = n
	switch v.Kind() {
	case reflect.Struct:
		p.decodeStruct(path, n, v)
	case reflect.Slice:
		p.decodeSlice(path, n, v)
	case reflect.Map:
		p.decodeMap(path, n, v)
	default:
		decodeScalar(path, n, v)
	}
}

func (p Places) decodeStruct(path string, n Node, v reflect.Value) {
	if n.Kind() != KindObject {
		n.WrongKind(path, "an object")
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
			p.decode(join(path, m.Name()), m.Value(), v.Field(i))
		}
		seen[m.Name()] = true
	}
}

func (p Places) decodeSlice(path string, n Node, v reflect.Value) {
	if n.Kind() != KindArray {
		n.WrongKind(path, "a list")
		return
	}
	elements := n.Elements()
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, e := range elements {
		p.decode(join(path, strconv.Itoa(i)), e, v.Index(i))
	}
}

func (p Places) decodeMap(path string, n Node, v reflect.Value) {
	if n.Kind() != KindObject {
		n.WrongKind(path, "an object")
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
		p.decode(join(path, m.Name()), m.Value(), element)
		v.SetMapIndex(key, element)
	}
}

func decodeScalar(path string, n Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		s, ok := n.Text()
		if !ok {
			n.WrongKind(path, "a string")
		}
		v.SetString(s)
	case reflect.Int:
		i, ok := n.Int()
		if !ok {
			n.WrongKind(path, "a whole number")
		}
		v.SetInt(i)
	case reflect.Float64:
		f, ok := n.Float()
		if !ok {
			n.WrongKind(path, "a number")
		}
		v.SetFloat(f)
	case reflect.Bool:
		b, ok := n.Bool()
		if !ok {
			n.WrongKind(path, "true or false")
		}
		v.SetBool(b)
	default:
		panic(fmt.Sprintf("decoder: no support for %s", v.Type()))
	}
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func unknownKey(m Member, fields map[string]int) {
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	slices.Sort(known)
	m.Key().Problem(fmt.Sprintf("unknown key %q", m.Name()),
		"remove it or correct it; known here: "+strings.Join(known, ", "))
}

func repeatedKey(m Member) {
	m.Key().Problem(fmt.Sprintf("key %q is given twice", m.Name()), "remove one of the two")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
