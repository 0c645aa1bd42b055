package decoder

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Kind is the JSON type of a value.
type Kind uint8

// Kinds of values.
const (
	KindNull Kind = iota
	KindBool
	KindNumber
	KindString
	KindArray
	KindObject
)

// String returns the kind's name for error messages.
func (k Kind) String() string {
	switch k {
	case KindBool:
		return "true or false"
	case KindNumber:
		return "a number"
	case KindString:
		return "a string"
	case KindArray:
		return "a list"
	case KindObject:
		return "an object"
	default:
		return "null"
	}
}

// Node is one value of a text, or the key of an object's member.
type Node struct {
	doc   *Document
	value *hujson.Value
}

// Member is one key and value of an object.
type Member struct {
	name  string
	key   Node
	value Node
}

// Name returns the key's text.
func (m Member) Name() string { return m.name }

// Key returns the key's node.
func (m Member) Key() Node { return m.key }

// Value returns the member's value.
func (m Member) Value() Node { return m.value }

// Kind returns the JSON type of the value.
func (n Node) Kind() Kind {
	switch n.value.Value.Kind() {
	case '{':
		return KindObject
	case '[':
		return KindArray
	case '"':
		return KindString
	case '0':
		return KindNumber
	case 't', 'f':
		return KindBool
	default:
		return KindNull
	}
}

// Start returns the offset of the value's first byte.
func (n Node) Start() int { return n.value.StartOffset }

// Line returns the line of the value's first byte, counted from 1.
func (n Node) Line() int {
	return 1 + bytes.Count(n.doc.body[:n.Start()], []byte("\n"))
}

// End returns the offset after the value's last byte.
func (n Node) End() int { return n.value.EndOffset }

// Members lists an object's keys and values in the order of the text. It returns nil
// if the value is not an object.
func (n Node) Members() []Member {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	members := make([]Member, 0, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		key := Node{doc: n.doc, value: &m.Name}
		text, _ := key.Text()
		members = append(members, Member{name: text, key: key, value: Node{doc: n.doc, value: &m.Value}})
	}
	return members
}

// Elements lists an array's values. It returns nil if the value is not an array.
func (n Node) Elements() []Node {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return nil
	}
	elements := make([]Node, 0, len(array.Elements))
	for i := range array.Elements {
		elements = append(elements, Node{doc: n.doc, value: &array.Elements[i]})
	}
	return elements
}

// Text returns a string's content; the second result is false if the value is not a
// string.
func (n Node) Text() (string, bool) {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return unquote(literal), true
}

// unquote returns a string's content. Few strings have escapes, and without any
// the content is the text between the quotes.
func unquote(literal hujson.Literal) string {
	plain := utf8.Valid(literal) && bytes.IndexByte(literal, '\\') < 0
	if plain {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// member returns the value of an object's key, the first if the key is repeated.
func (n Node) member(name string) (Node, bool) {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return Node{}, false
	}
	for i := range object.Members {
		m := &object.Members[i]
		if literal, _ := m.Name.Value.(hujson.Literal); equalsText(literal, name) {
			return Node{doc: n.doc, value: &m.Value}, true
		}
	}
	return Node{}, false
}

// equalsText reports whether a string's content is text, without copying it unless
// it has escapes.
func equalsText(literal hujson.Literal, text string) bool {
	if bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1:len(literal)-1]) == text
	}
	return literal.String() == text
}

// element returns the array element at an index.
func (n Node) element(index string) (Node, bool) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return Node{}, false
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= len(array.Elements) {
		return Node{}, false
	}
	return Node{doc: n.doc, value: &array.Elements[i]}, true
}

// walk follows a path like services/2/slots as far as it exists. complete reports
// whether the whole path exists.
func (n Node) walk(path string) (last Node, complete bool) {
	for path != "" {
		name, rest, _ := strings.Cut(path, "/")
		next, ok := n.member(name)
		if !ok {
			next, ok = n.element(name)
		}
		if !ok {
			return n, false
		}
		n, path = next, rest
	}
	return n, true
}

// Bool returns the value of true or false; ok is false if the value is neither.
func (n Node) Bool() (value, ok bool) {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || n.Kind() != KindBool {
		return false, false
	}
	return literal.Bool(), true
}

// Int returns a whole number; the second result is false if the value is none, or
// doesn't fit an int64.
func (n Node) Int() (int64, bool) {
	var i int64
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || n.Kind() != KindNumber || json.Unmarshal(literal, &i) != nil {
		return 0, false
	}
	return i, true
}

// Float returns a number; the second result is false if the value is none, or doesn't
// fit a float64.
func (n Node) Float() (float64, bool) {
	var f float64
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || n.Kind() != KindNumber || json.Unmarshal(literal, &f) != nil {
		return 0, false
	}
	return f, true
}

// AddProblem records a problem at the value.
func (n Node) AddProblem(reason, remedy string) { n.doc.AddProblem(n.Start(), reason, remedy) }

// AddKindProblem records that the value at path is not what was expected; want says
// what was, such as "a whole number".
func (n Node) AddKindProblem(path, want string) {
	subject := ""
	if path != "" {
		subject = strings.TrimPrefix(path, "/") + ": "
	}
	n.AddProblem(subject+n.Kind().String()+" instead of "+want, "write "+want+" here")
}
